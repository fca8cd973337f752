#include "slatestall/config/stage_checks.h"

#include <algorithm>
#include <vector>

#include "slatestall/config/nearest_name.h"
#include "slatestall/config/value_text.h"

namespace slatestall {
namespace {

template <typename T>
std::vector<std::string> KeysOf(const std::map<std::string, T>& map) {
  std::vector<std::string> names;
  names.reserve(map.size());
  for (const auto& [name, value] : map) {
    names.push_back(name);
  }
  return names;
}

class stage_checker {
 public:
  stage_checker(const configuration& content, const pipeline_config& pipeline,
                std::size_t index, const std::string& path,
                problem_sink& problems)
      : content_(content),
        pipeline_(pipeline),
        stage_(pipeline.stages[index]),
        index_(index),
        path_(path),
        problems_(problems) {}

  void Check() {
    CheckModel();
    const service_config* service = FindService();
    if (service == nullptr) {
      return;
    }
    CheckRepeatable(*service);
    if (!KindKnown(*service)) {
      return;
    }
    CheckKind(service->kind);
    CheckOrder(service->kind);
  }

 private:
  const service_config* FindService() {
    const auto found = content_.services.find(stage_.service);
    if (found != content_.services.end()) {
      return &found->second;
    }
    if (!stage_.service.empty()) {
      problems_.Add(path_ + ".service",
                    "no service is called " + Quoted(stage_.service) +
                        Suggestion(stage_.service, KeysOf(content_.services)));
    }
    return nullptr;
  }

  bool KindKnown(const service_config& service) const {
    const std::string path = "services." + service.name;
    return problems_.Sound(path + ".kind") && problems_.Sound(path);
  }

  void CheckModel() {
    if (stage_.model.empty()) {
      return;
    }
    const auto model = content_.models.find(stage_.model);
    if (model == content_.models.end()) {
      problems_.Add(path_ + ".model",
                    "no model is called " + Quoted(stage_.model) +
                        Suggestion(stage_.model, KeysOf(content_.models)));
      return;
    }
    const std::vector<std::string>& adapters = model->second.adapters;
    const bool known = std::find(adapters.begin(), adapters.end(),
                                 stage_.adapter) != adapters.end();
    if (!stage_.adapter.empty() && !known) {
      problems_.Add(path_ + ".adapter",
                    "the model " + Quoted(stage_.model) +
                        " has no adapter called " + Quoted(stage_.adapter) +
                        Suggestion(stage_.adapter, adapters));
    }
  }

  // A pipeline that is not billed takes requests without an Idempotency-Key,
  // so a caller who resends would run such a stage a second time.
  void CheckRepeatable(const service_config& service) {
    if (!service.repeatable && !pipeline_.billed) {
      problems_.Add(path_ + ".service",
                    "calls to " + Quoted(service.name) +
                        " may not be repeated, so the pipeline must be marked "
                        "'billed: true'");
    }
  }

  void CheckKind(service_kind kind) {
    if (kind == service_kind::kPlain) {
      problems_.Add(path_ + ".service",
                    "the service " + Quoted(stage_.service) +
                        " is plain; it is called directly, not as a stage");
      return;
    }
    const bool is_engine = kind == service_kind::kEngine;
    const bool ranks =
        kind == service_kind::kRetriever || kind == service_kind::kReranker;
    CheckPresence("model", !stage_.model.empty(), is_engine, kind);
    CheckPresence("max_tokens", stage_.max_tokens != 0, is_engine, kind);
    CheckPresence("top_k", stage_.top_k != 0, ranks, kind);
    if (!is_engine && !stage_.adapter.empty()) {
      CheckPresence("adapter", true, false, kind);
    }
  }

  void CheckPresence(const std::string& name, bool present, bool wanted,
                     service_kind kind) {
    const std::string path = path_ + "." + name;
    if (present == wanted || !problems_.Sound(path)) {
      return;
    }
    const std::string kind_name(NameIn(kServiceKindNames, kind));
    problems_.Add(
        path, wanted ? "missing: a stage of kind " + kind_name + " needs it"
                     : "a stage of kind " + kind_name + " takes no such field");
  }

  // What a stage consumes must have been made by an earlier one, and what the
  // last one makes is the answer.
  void CheckOrder(service_kind kind) {
    const bool is_last = index_ + 1 == pipeline_.stages.size();
    if (is_last && kind != service_kind::kEngine &&
        kind != service_kind::kPlain) {
      problems_.Add(path_ + ".service",
                    "the last stage makes the answer and must run on an "
                    "engine");
    }
    if (kind == service_kind::kRetriever) {
      CheckEarlier(service_kind::kEncoder, "an embedding");
    }
    if (kind == service_kind::kReranker) {
      CheckEarlier(service_kind::kRetriever, "documents");
    }
  }

  void CheckEarlier(service_kind wanted, const std::string& product) {
    for (std::size_t i = 0; i < index_; ++i) {
      const auto found = content_.services.find(pipeline_.stages[i].service);
      // An earlier stage that is itself wrong may have been meant to be it.
      if (found == content_.services.end() || !KindKnown(found->second) ||
          found->second.kind == wanted) {
        return;
      }
    }
    problems_.Add(path_ + ".service",
                  "needs " + product + " and no stage before it runs on a " +
                      "service of kind " +
                      std::string(NameIn(kServiceKindNames, wanted)));
  }

  const configuration& content_;
  const pipeline_config& pipeline_;
  const stage_config& stage_;
  std::size_t index_;
  const std::string& path_;
  problem_sink& problems_;
};

}  // namespace

void CheckStage(const configuration& content, const pipeline_config& pipeline,
                std::size_t index, const std::string& path,
                problem_sink& problems) {
  stage_checker(content, pipeline, index, path, problems).Check();
}

}  // namespace slatestall
