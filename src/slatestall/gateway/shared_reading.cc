#include "slatestall/gateway/shared_reading.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace slatestall {
namespace {

/// A reader answers at once, where the store would have held the read open
/// until something came. Asked as often, a change is in force within a second.
constexpr milliseconds kAskInterval{500};

using read_done = std::function<void(keyed_read)>;

/// One read of a topic: by a reader, else by the store.
struct topic_read {
  asio::io_context& context;
  keyed_topic direct;
  std::shared_ptr<topic_tail> tail;
  milliseconds max_age;
  std::uint64_t from;
  milliseconds wait;
  read_done done;
};
using topic_read_ptr = std::shared_ptr<topic_read>;

void ReadDirectly(const topic_read_ptr& read) {
  read->direct.read_from(read->from, read->wait, [read](keyed_read got) {
    if (got.outcome == store_outcome::kDone) {
      read->tail->Note(read->from, got);
    }
    read->done(std::move(got));
  });
}

void Deliver(const topic_read_ptr& read, tail_read told) {
  keyed_read got;
  got.outcome = store_outcome::kDone;
  got.next = told.next;
  got.records = std::move(told.records);
  if (!got.records.empty() || read->wait == milliseconds(0)) {
    read->done(std::move(got));
    return;
  }
  const auto timer = std::make_shared<asio::steady_timer>(read->context);
  timer->expires_after(kAskInterval);
  timer->async_wait([timer, read, got](const asio::error_code& error) {
    if (!error) {
      read->done(got);
    }
  });
}

}  // namespace

shared_reading::shared_reading(asio::io_context& context, ask_reader ask,
                               now_function now)
    : context_(context), ask_(std::move(ask)), now_(std::move(now)) {}

keyed_topic shared_reading::Share(const std::string& name,
                                  const keyed_topic& direct,
                                  milliseconds max_age) {
  const auto tail = std::make_shared<topic_tail>(now_);
  tails_[name] = tail;
  keyed_topic shared = direct;
  shared.read_newest = [direct, tail](const read_done& done) {
    direct.read_newest([tail, done](const keyed_read& got) {
      if (got.outcome == store_outcome::kDone) {
        keyed_read nothing;
        nothing.next = got.next;
        tail->Note(got.next, nothing);
      }
      done(got);
    });
  };
  shared.read_from = [this, name, direct, tail, max_age](
                         std::uint64_t from, milliseconds wait,
                         const read_done& done) {
    const auto read = std::make_shared<topic_read>(
        topic_read{context_, direct, tail, max_age, from, wait, done});
    ask_(name, from, [read](std::optional<tail_read> told) {
      asio::post(read->context, [read, told = std::move(told)] {
        if (told && told->age <= read->max_age) {
          Deliver(read, *told);
        } else {
          ReadDirectly(read);
        }
      });
    });
  };
  return shared;
}

std::optional<tail_read> shared_reading::ReadTail(const std::string& topic,
                                                  std::uint64_t from) const {
  const auto found = tails_.find(topic);
  return found == tails_.end() ? std::nullopt : found->second->ReadFrom(from);
}

}  // namespace slatestall
