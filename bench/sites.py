"""Pipeline file and endpoints that the benches share."""

PIPELINE_FILE = """
services:
  slate-pool: {kind: engine, from: host-list, slots: 8}
  encoders: {kind: encoder, from: host-list, slots: 16}
  retrievers: {kind: retriever, from: host-list, slots: 16}
  rerankers: {kind: reranker, from: host-list, slots: 16}
  faq-front: {kind: plain, from: host-list, slots: 16}
  billing: {kind: plain, from: host-list, slots: 16, repeatable: false}
models:
  faq-7b: {version: "1"}
pipelines:
  faq-draft:
    deadline: 6s
    priority: batch
    billed: true
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retrievers, top_k: 8}
      - {name: rerank, service: rerankers, top_k: 3}
      - {name: draft, service: slate-pool, model: faq-7b, max_tokens: 256}
  chat-reply:
    deadline: 2500ms
    stages:
      - {name: encode, service: encoders}
      - {name: retrieve, service: retrievers, top_k: 8}
      - {name: rerank, service: rerankers, top_k: 3}
      - {name: reply, service: slate-pool, model: faq-7b, max_tokens: 64}
workspaces:
""" + "".join(
    f"  shop-{i}: {{routes: [faq-draft, chat-reply, faq-front, billing]}}\n"
    for i in range(1, 6))

WORKSPACES = [f"shop-{i}" for i in range(1, 6)]
ENGINE = ("engine", "slate-pool")
POOLS = [("encoder", "encoders"), ("retriever", "retrievers"),
         ("reranker", "rerankers")]
FAQ_FRONT = ("plain", "faq-front")
BILLING = ("plain", "billing")
ENGINE_OPTIONS = ["--models", "faq-7b@1", "--step-ms", "4"]
