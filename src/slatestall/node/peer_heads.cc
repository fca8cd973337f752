#include "slatestall/node/peer_heads.h"

#include <algorithm>
#include <random>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

struct head_round {
  std::vector<peer_head> heads;
  std::size_t answered = 0;
  std::size_t open = 0;
  std::function<void(std::vector<peer_head>, std::size_t)> done;
};

void Take(head_round& round, const peer_reply& reply, config_revision known) {
  const auto* body = reply.end == peer_call_end::kReplied
                         ? reply.body.Asconfig_head_reply()
                         : nullptr;
  if (body == nullptr) {
    return;
  }
  ++round.answered;
  if (body->revision > known || body->read_to > 0) {
    round.heads.push_back({{body->revision, body->read_to}, body->source});
  }
}

void Finish(head_round& round) {
  std::sort(round.heads.begin(), round.heads.end(),
            [](const auto& left, const auto& right) {
              return std::pair(left.claim.revision, left.claim.read_to) <
                     std::pair(right.claim.revision, right.claim.read_to);
            });
  round.done(std::move(round.heads), round.answered);
}

}  // namespace

void AskHeads(const peer_call& call, const std::vector<std::string>& peers,
              config_revision known, milliseconds timeout,
              std::function<void(std::vector<peer_head>, std::size_t)> done) {
  if (peers.empty()) {
    done({}, 0);
    return;
  }
  auto round = std::make_shared<head_round>();
  round->open = peers.size();
  round->done = std::move(done);
  for (const auto& peer : peers) {
    wire::config_head_requestT request;
    request.known_revision = known;
    wire::messageUnion body;
    body.Set(wire::config_head_requestT{request});
    call(peer, std::move(body), timeout,
         [round, known](const peer_reply& reply) {
           Take(*round, reply, known);
           if (--round->open == 0) {
             Finish(*round);
           }
         });
  }
}

std::vector<std::string> SomeOf(std::vector<std::string> hosts,
                                std::size_t count) {
  std::mt19937_64 random(RandomBits());
  std::shuffle(hosts.begin(), hosts.end(), random);
  hosts.resize(std::min(count, hosts.size()));
  return hosts;
}

}  // namespace slatestall
