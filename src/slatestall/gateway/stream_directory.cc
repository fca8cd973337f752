#include "slatestall/gateway/stream_directory.h"

#include <algorithm>
#include <utility>

#include "slatestall/model/ids.h"
#include "slatestall/peer/frame_codec.h"

namespace slatestall {
namespace {

/// Hosts that keep an origin beside the one that began the stream.
constexpr std::size_t kHolders = 3;
/// More than keep it: two hosts may know different hosts.
constexpr std::size_t kQueried = 5;
/// Ranks are kept for parts of the streams rather than for each stream.
constexpr std::uint64_t kParts = 256;
constexpr std::size_t kMostOrigins = std::size_t{1} << 16U;
/// A holder that takes longer is as good as gone.
constexpr milliseconds kQueryTimeout{150};

stream_origin OriginIn(const wire::find_stream_replyT& reply) {
  return {reply.service, reply.version};
}

}  // namespace

/// Queries under way for one stream.
struct stream_directory::search {
  std::size_t awaited = 0;
  done_hook done;

  void Take(std::optional<stream_origin> origin) {
    --awaited;
    if (done && (origin || awaited == 0)) {
      std::exchange(done, nullptr)(std::move(origin));
    }
  }
};

stream_directory::stream_directory(peer_node& peers, gateway_metrics& metrics,
                                   std::string self, now_function now)
    : peers_(peers),
      metrics_(metrics),
      self_(std::move(self)),
      now_(std::move(now)),
      origins_(kMostOrigins) {
  ServePeers();
}

void stream_directory::ServePeers() {
  peers_.HandleNotice(
      wire::message::stream_note,
      [this](const wire::messageUnion& notice, const std::string&) {
        const auto& note = *notice.Asstream_note();
        origins_.Note(note.stream, {note.service, note.version},
                      milliseconds(note.lifetime_ms), now_());
        metrics_.Count("stream_notes", "received");
      });
  peers_.Handle(wire::message::find_stream,
                [this](const wire::messageUnion& request, const std::string&,
                       const std::function<void(wire::messageUnion)>& reply) {
                  const auto found =
                      origins_.Find(request.Asfind_stream()->stream, now_());
                  wire::find_stream_replyT told;
                  told.known = found.has_value();
                  if (found) {
                    told.service = found->service;
                    told.version = found->version;
                  }
                  reply(MakeMessage(std::move(told)));
                });
}

void stream_directory::SetHosts(std::vector<home_candidate> others) {
  std::erase_if(others, [this](const auto& one) { return one.host == self_; });
  others_ = std::move(others);
  holders_.clear();
}

const std::vector<std::string>& stream_directory::HoldersOf(
    const std::string& stream) {
  const auto part = StableHash(stream) % kParts;
  const auto [found, is_new] = holders_.try_emplace(part);
  if (is_new) {
    found->second = RankHomes("stream/" + std::to_string(part), others_);
    found->second.resize(std::min(found->second.size(), kQueried));
  }
  return found->second;
}

void stream_directory::Note(const std::string& stream,
                            const stream_origin& origin,
                            milliseconds lifetime) {
  origins_.Note(stream, origin, lifetime, now_());
  const auto& holders = HoldersOf(stream);
  for (std::size_t i = 0; i < std::min(holders.size(), kHolders); ++i) {
    wire::stream_noteT note;
    note.stream = stream;
    note.service = origin.service;
    note.version = origin.version;
    note.lifetime_ms = static_cast<std::uint32_t>(lifetime.count());
    peers_.Notify(holders[i], MakeMessage(std::move(note)));
    metrics_.Count("stream_notes", "sent");
  }
}

void stream_directory::Find(const std::string& stream, done_hook done) {
  auto known = origins_.Find(stream, now_());
  const auto& holders = HoldersOf(stream);
  if (known || holders.empty()) {
    done(std::move(known));
    return;
  }
  const auto queries = std::make_shared<search>();
  queries->awaited = holders.size();
  queries->done = std::move(done);
  for (const auto& holder : holders) {
    wire::find_streamT query;
    query.stream = stream;
    peers_.Call(holder, MakeMessage(std::move(query)), kQueryTimeout,
                [queries](const peer_reply& reply) {
                  const auto* told = reply.end == peer_call_end::kReplied
                                         ? reply.body.Asfind_stream_reply()
                                         : nullptr;
                  queries->Take(told != nullptr && told->known
                                    ? std::optional(OriginIn(*told))
                                    : std::nullopt);
                });
  }
}

}  // namespace slatestall
