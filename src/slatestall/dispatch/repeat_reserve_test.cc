#include "slatestall/dispatch/repeat_reserve.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "slatestall/dispatch/repeat_allowance.h"

namespace slatestall {
namespace {

const std::string kService = "s";
constexpr double kReserve = 430;
constexpr milliseconds kStep{250};
constexpr milliseconds kListRead{3'000};
constexpr milliseconds kAnnounce{40'000};
const repeat_limits kLimits{0, milliseconds(10'000), kReserve};

/// Small numbers from a seed, the same on every machine.
class random_numbers {
 public:
  explicit random_numbers(std::uint64_t seed) : state_(seed | 1U) {}
  std::uint64_t Below(std::uint64_t limit) {
    constexpr std::uint64_t kFactor = 6364136223846793005ULL;
    state_ = state_ * kFactor + 1442695040888963407ULL;
    return (state_ >> 33U) % limit;
  }
  bool OneIn(std::uint64_t count) { return Below(count) == 0; }

 private:
  std::uint64_t state_;
};

/// Hosts before a store and between one another, as far as the reserve sees
/// them. Time is counted from the start of the play; each host has a clock of
/// its own rate.
class fleet {
 public:
  fleet(std::size_t hosts, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      Join();
    }
  }

  struct host {
    std::string name;
    double rate = 1;
    std::unique_ptr<repeat_allowance> allowance;
    std::unique_ptr<reserve_pool> pool;
    duration read_at{-1};
    duration announced_at{-1};
    std::vector<duration> seen;     ///< By host: entry, as its reader saw it.
    std::vector<unsigned> version;  ///< By host: of that entry.
    duration away_until{0};         ///< Frozen, or dead.
    bool without_store = false;
    std::size_t pool_rank = 0;  ///< What it takes for the pool.
  };

  void Join() {
    host made;
    made.name = "h" + std::to_string(hosts_.size());
    made.rate = 0.99 + 0.002 * static_cast<double>(random_.Below(11));
    hosts_.push_back(std::move(made));
    entries_.push_back(0);
    Restart(hosts_.back());
  }

  void Restart(host& one) {
    one.allowance = std::make_unique<repeat_allowance>(kLimits);
    one.pool = std::make_unique<reserve_pool>(one.allowance->Times(), ++lives_,
                                              Clock(one));
    one.read_at = one.announced_at = duration(-1);
    one.seen.clear();
    one.version.clear();
  }

  /// @param wants How many repeats a host tries to send in a step.
  void Step(const std::function<std::size_t(std::size_t host)>& wants) {
    now_ += kStep;
    Deliver();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      auto& one = hosts_[i];
      if (now_ < one.away_until) {
        continue;
      }
      FollowStore(i);
      AskPool(one);
      for (std::size_t n = wants(i); n > 0; --n) {
        if (one.allowance->Take(kService, Clock(one))) {
          ++taken_[i];
          taken_at_.push_back(now_);
        }
      }
    }
    while (!taken_at_.empty() && now_ - taken_at_.front() >= kLimits.window) {
      taken_at_.pop_front();
    }
  }

  /// Kills, freezes, cuts and joins.
  void Trouble() {
    auto& one = hosts_[random_.Below(hosts_.size())];
    switch (random_.Below(6)) {
      case 0:
        Restart(one);
        break;
      case 1:
        one.away_until = now_ + kStep * random_.Below(60);
        break;
      case 2:
        one.without_store = !one.without_store;
        break;
      case 3:
        one.pool_rank = random_.Below(hosts_.size());
        break;
      case 4:
        slowest_ = milliseconds(random_.Below(6'000));
        break;
      default:
        Join();
        break;
    }
  }

  std::size_t InWindow() const { return taken_at_.size(); }
  std::size_t TakenBy(std::size_t host) { return taken_[host]; }

 private:
  struct message {
    duration at;
    std::function<void()> deliver;
  };

  time_point Clock(const host& one) const {
    return time_point(std::chrono::hours(1)) + Scaled(now_, one.rate);
  }

  void FollowStore(std::size_t index) {
    auto& one = hosts_[index];
    if (one.without_store) {
      return;
    }
    const bool announces =
        one.announced_at < duration(0) || now_ - one.announced_at >= kAnnounce;
    const bool reads =
        one.read_at < duration(0) || now_ - one.read_at >= kListRead;
    if (announces) {
      one.announced_at = now_;
      ++entries_[index];
    }
    if (!announces && !reads) {
      return;
    }
    one.read_at = now_;
    one.seen.resize(hosts_.size());
    one.version.resize(hosts_.size());
    host_census census;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (entries_[i] != one.version[i]) {
        one.version[i] = entries_[i];
        one.seen[i] = now_;
      }
      const bool listed = one.version[i] > 0 &&
                          Scaled(now_ - one.seen[i], one.rate) <
                              reserve_times::For(kLimits.window).EntryLife();
      census.hosts += listed ? 1 : 0;
    }
    census.read_at = Clock(one);
    census.announced_at =
        Clock(one) - Scaled(now_ - one.announced_at, one.rate);
    one.allowance->NoteCensus(census, Clock(one));
  }

  void AskPool(host& one) {
    const auto pool = one.pool_rank;
    const std::string name = hosts_[pool].name;
    const time_point asked = Clock(one);
    const auto question = one.allowance->Question(name, asked);
    const auto asker = static_cast<std::size_t>(&one - hosts_.data());
    const auto life = one.allowance.get();
    Send([this, pool, name, question, asker, asked, life] {
      if (now_ < hosts_[pool].away_until) {
        return;
      }
      const auto answer = hosts_[pool].pool->Answer(
          hosts_[asker].name, question, Clock(hosts_[pool]));
      Send([this, asker, name, answer, asked, life] {
        auto& to = hosts_[asker];
        if (now_ >= to.away_until && to.allowance.get() == life) {
          to.allowance->NoteAnswer(name, answer, asked, Clock(to));
        }
      });
    });
  }

  void Send(std::function<void()> deliver) {
    const auto under_way =
        slowest_ > milliseconds(0)
            ? milliseconds(
                  random_.Below(static_cast<std::uint64_t>(slowest_.count())))
            : milliseconds(0);
    messages_.push_back({now_ + under_way, std::move(deliver)});
  }

  void Deliver() {
    std::vector<message> due;
    std::erase_if(messages_, [&](message& one) {
      const bool is_due = one.at < now_;
      if (is_due) {
        due.push_back(std::move(one));
      }
      return is_due;
    });
    for (auto& one : due) {
      one.deliver();
    }
  }

  random_numbers random_;
  std::vector<host> hosts_;
  std::vector<unsigned>
      entries_;  ///< In the store, by host: how often written.
  std::vector<message> messages_;
  std::uint64_t lives_ = 0;
  duration now_{0};
  milliseconds slowest_{0};
  std::deque<duration> taken_at_;
  std::map<std::size_t, std::size_t> taken_;
};

constexpr int kSettlingSteps = 120;

class repeat_reserve_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(repeat_reserve_test);
  CPPUNIT_TEST(TheSumHoldsWhoeverSeesWhom);
  CPPUNIT_TEST(OneHostWithAllFailuresGetsHalfOfTheReserve);
  CPPUNIT_TEST(APoolThatIsGoneDoesNotDoubleWhatItWasLent);
  CPPUNIT_TEST(ALoanUnderWayForLongIsVoid);
  CPPUNIT_TEST_SUITE_END();

  // Endpoints turn everything away, and each host repeats all it may. Hosts
  // join, die and come back, freeze, lose the store, take different hosts for
  // the pool, and their messages are late by seconds. In no window may they
  // together send more than the reserve.
  void TheSumHoldsWhoeverSeesWhom() {
    CPPUNIT_ASSERT(rc::check("the hosts together keep the reserve", [] {
      const auto hosts = *rc::gen::element<std::size_t>(1, 2, 3, 7, 30, 100);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      RC_ASSERT(static_cast<double>(MostInWindow(hosts, seed)) <= kReserve);
    }));
    constexpr std::size_t kManyHosts = 1000;
    CPPUNIT_ASSERT(static_cast<double>(MostInWindow(kManyHosts, 1)) <=
                   kReserve);
  }

  static std::size_t MostInWindow(std::size_t hosts, std::uint64_t seed) {
    constexpr std::size_t kWanted = 20;
    fleet played(hosts, seed);
    random_numbers random(seed);
    std::size_t most = 0;
    // Long enough for entries to lapse, where that costs little time.
    const int steps = kSettlingSteps * (hosts <= 7 ? 8 : 2);
    for (int step = 0; step < steps; ++step) {
      if (random.OneIn(4)) {
        played.Trouble();
      }
      played.Step([&](std::size_t) { return random.Below(4) * kWanted; });
      most = std::max(most, played.InWindow());
    }
    return most;
  }

  // One host's callers meet all the failing endpoints; nobody else needs a
  // repeat. It may not be held to its own small part of the reserve.
  void OneHostWithAllFailuresGetsHalfOfTheReserve() {
    for (const std::size_t hosts : {1U, 7U, 64U, 195U, 1000U}) {
      fleet played(hosts, 1);
      for (int step = 0; step < kSettlingSteps; ++step) {
        played.Step([](std::size_t) { return 0U; });
      }
      const std::size_t failing = hosts - 1;
      constexpr std::size_t kFailures = 60;
      for (int step = 0; step < milliseconds(2'000) / kStep; ++step) {
        played.Step(
            [&](std::size_t host) { return host == failing ? kFailures : 0U; });
      }
      CPPUNIT_ASSERT(static_cast<double>(played.TakenBy(failing)) >=
                     kReserve / 2);
    }
  }

  // The pool grants all it has, and is lost. Its lenders turn to another host
  // at once; what they lent may not be granted a second time in the window.
  void APoolThatIsGoneDoesNotDoubleWhatItWasLent() {
    const reserve_times times;
    reserve_share share(times);
    time_point now{std::chrono::hours(1)};
    share.Note({1, now, now}, now);
    now += times.Settling();
    share.Note({1, now, now}, now);
    CPPUNIT_ASSERT(!share.Lend("p", kReserve, now));
    share.NoteStamp("p", {1, 5}, now);
    CPPUNIT_ASSERT(share.Lend("p", kReserve, now).has_value());
    const auto in_use = reserve_times::Outlasting(times.loan) +
                        reserve_times::Outlasting(times.grant + times.window);
    const auto before = now + in_use - milliseconds(1);
    share.Note({1, before, before}, before);
    CPPUNIT_ASSERT(!share.Lend("q", kReserve, before));
    share.NoteStamp("q", {1, 5}, before);
    CPPUNIT_ASSERT(!share.Lend("q", kReserve, before));
    now += in_use;
    CPPUNIT_ASSERT(!share.Lend("q", kReserve, now));
    share.NoteStamp("q", {1, 5}, now);
    CPPUNIT_ASSERT(share.Lend("q", kReserve, now).has_value());
  }

  // A loan lies in a cut connection for seconds. Its lender has the part back
  // by then; the pool, which cannot see how old it is but by its own clock's
  // word in it, may not grant of it.
  void ALoanUnderWayForLongIsVoid() {
    const reserve_times times;
    const time_point start{std::chrono::hours(1)};
    reserve_pool pool(times, 7, start);
    const time_point now = start + std::chrono::seconds(60);
    const auto stamp = pool.Answer("h", {}, now).stamp;
    const reserve_question question{reserve_loan{stamp, 100}, {{kService, 10}}};
    CPPUNIT_ASSERT(
        pool.Answer("h", question, now + times.loan).granted.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{10},
        pool.Answer("h", question, now + milliseconds(5)).granted.at(kService));
    reserve_pool reborn(times, 8, start);
    CPPUNIT_ASSERT(
        reborn.Answer("h", question, now + milliseconds(5)).granted.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeat_reserve_test);

}  // namespace
}  // namespace slatestall
