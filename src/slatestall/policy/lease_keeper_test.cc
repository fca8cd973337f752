#include "slatestall/policy/lease_keeper.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <set>
#include <vector>

namespace slatestall {
namespace {

using std::chrono::seconds;

constexpr const char* kLease = "orders/drafter";

/// One host: its clock, how far it has read, and its part in the lease.
struct lease_host {
  lease_host(const std::string& name, double clock_rate)
      : id{name, 1},
        rate(clock_rate),
        keeper(kLease, id, {}, milliseconds{0}) {}

  time_point Now(duration elapsed) const {
    return time_point{} + std::chrono::duration_cast<duration>(elapsed * rate);
  }

  host_id id;
  double rate;
  lease_table table;
  lease_keeper keeper;
  std::uint64_t read_to = 0;
};

/// Hosts, the log and the appends on their way to it.
class lease_world {
 public:
  explicit lease_world(const std::vector<double>& clock_rates) {
    for (std::size_t i = 0; i < clock_rates.size(); ++i) {
      hosts_.emplace_back("entry-" + std::to_string(i), clock_rates[i]);
    }
  }

  std::size_t HostCount() const { return hosts_.size(); }
  lease_host& Host(std::size_t i) { return hosts_[i % hosts_.size()]; }
  void Pass(duration time) { elapsed_ += time; }

  void Read(std::size_t host, std::size_t max) {
    auto& reader = Host(host);
    const auto now = reader.Now(elapsed_);
    while (max-- > 0 && reader.read_to < log_.size()) {
      const auto& record = log_[reader.read_to++];
      const bool took_effect = reader.table.Take(record);
      reader.keeper.Saw(record, took_effect, reader.table, now);
    }
    if (reader.read_to == log_.size()) {
      reader.keeper.CaughtUp(now);
    }
  }

  void Write(std::size_t host) {
    auto& writer = Host(host);
    auto record = writer.keeper.TakeDue(writer.table, writer.read_to,
                                        "a" + std::to_string(appends_++),
                                        writer.Now(elapsed_));
    if (record) {
      on_way_.push_back(*record);
    }
  }

  /// The append arrives, maybe after later ones.
  void Deliver(std::size_t which) {
    if (on_way_.empty()) {
      return;
    }
    const auto at =
        on_way_.begin() + static_cast<std::ptrdiff_t>(which % on_way_.size());
    log_.push_back(*at);
    log_.back().offset = log_.size() - 1;
    on_way_.erase(at);
  }

  void Lose() {
    if (!on_way_.empty()) {
      on_way_.pop_front();
    }
  }

  std::size_t Holders() const {
    std::size_t holders = 0;
    for (const auto& host : hosts_) {
      holders += host.keeper.Fencing(host.Now(elapsed_)) ? 1 : 0;
    }
    return holders;
  }

  std::optional<std::uint64_t> Fencing() const {
    for (const auto& host : hosts_) {
      if (const auto fencing = host.keeper.Fencing(host.Now(elapsed_))) {
        return fencing;
      }
    }
    return std::nullopt;
  }

 private:
  std::vector<lease_host> hosts_;
  std::vector<lease_record> log_;
  std::deque<lease_record> on_way_;
  std::size_t appends_ = 0;
  duration elapsed_{seconds{1000}};
};

class lease_keeper_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(lease_keeper_test);
  CPPUNIT_TEST(NeverTwoHolders);
  CPPUNIT_TEST(AHealthySystemHasAHolder);
  CPPUNIT_TEST(APausedHolderFindsItsTimeOver);
  CPPUNIT_TEST(ARenewalThatArrivesLateLoses);
  CPPUNIT_TEST(OfTwoCandidatesTheFirstRecordWins);
  CPPUNIT_TEST(AReleasedLeaseIsFreeAtOnce);
  CPPUNIT_TEST(ALeaseWhoseAcquisitionExpiredIsNotTaken);
  CPPUNIT_TEST_SUITE_END();

  static void RunInOrder(lease_world& world, int steps) {
    for (int i = 0; i < steps; ++i) {
      world.Pass(seconds{1});
      for (std::size_t host = 0; host < world.HostCount(); ++host) {
        world.Read(host, 100);
        world.Write(host);
        world.Deliver(0);
        world.Read(host, 100);
      }
    }
  }

 public:
  // Hosts pause, appends are lost, late and crossed, reading lags, and clocks
  // run at slightly different rates. Whatever the order, two hosts never both
  // believe at the same moment that they may send orders, and the fencing
  // number only grows.
  void NeverTwoHolders() {
    CPPUNIT_ASSERT(rc::check("never two holders", [] {
      lease_world world({1.0, 1.01, 0.99});
      RunInOrder(world, *rc::gen::inRange(0, 40));
      std::uint64_t highest = 0;
      const auto steps = *rc::gen::container<std::vector<unsigned>>(
          rc::gen::inRange(0U, 6000U));
      for (const auto step : steps) {
        const auto who = step / 6;
        switch (step % 6) {
          case 0:
            world.Read(who, 1 + who % 3);
            break;
          case 1:
            world.Read(who, 100);
            world.Write(who);
            world.Write(who + 1);
            break;
          case 2:
          case 3:
            world.Deliver(who);
            break;
          case 4:
            world.Pass(milliseconds{1 + who * 17});
            break;
          default:
            world.Lose();
        }
        RC_ASSERT(world.Holders() <= 1U);
        if (const auto fencing = world.Fencing()) {
          RC_ASSERT(*fencing >= highest);
          highest = *fencing;
        }
      }
    }));
  }

  void AHealthySystemHasAHolder() {
    lease_world world({1.0, 1.01, 0.99});
    RunInOrder(world, 60);
    const auto fencing = world.Fencing();
    CPPUNIT_ASSERT(fencing.has_value());
    RunInOrder(world, 200);
    CPPUNIT_ASSERT(world.Fencing() == fencing);
  }

  // The holder is paused for a minute right after it was granted the lease;
  // another host takes it. Woken up, the first must not send an order on the
  // strength of what it knew: it has read nothing yet, only its clock tells.
  void APausedHolderFindsItsTimeOver() {
    lease_world world({1.0});
    RunInOrder(world, 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Holders());
    world.Pass(seconds{60});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.Holders());
  }

  // A renewal hangs in the network while its sender's time runs out and
  // another host acquires. Arriving then, it must not bring the lease back.
  void ARenewalThatArrivesLateLoses() {
    lease_table table;
    const host_id a{"a", 1};
    const host_id b{"b", 1};
    CPPUNIT_ASSERT(table.Take({0, "l", lease_action::kAcquire, a, "1", 0}));
    CPPUNIT_ASSERT(table.Take({1, "l", lease_action::kAcquire, b, "2", 1}));
    CPPUNIT_ASSERT(!table.Take({2, "l", lease_action::kRenew, a, "3", 1}));
    CPPUNIT_ASSERT(table.HolderOf("l")->host == b);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, table.HolderOf("l")->fencing);
  }

  void OfTwoCandidatesTheFirstRecordWins() {
    lease_table table;
    const host_id a{"a", 1};
    const host_id b{"b", 1};
    CPPUNIT_ASSERT(table.Take({5, "l", lease_action::kAcquire, a, "1", 5}));
    CPPUNIT_ASSERT(!table.Take({6, "l", lease_action::kAcquire, b, "2", 5}));
    CPPUNIT_ASSERT(table.Take({7, "m", lease_action::kAcquire, b, "3", 5}));
    CPPUNIT_ASSERT(table.HolderOf("l")->host == a);
  }

  void AReleasedLeaseIsFreeAtOnce() {
    lease_world world({1.0, 1.0});
    RunInOrder(world, 20);
    world.Host(0).keeper.Resign();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.Holders());
    RunInOrder(world, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.Holders());
    CPPUNIT_ASSERT(world.Host(1).table.HolderOf(kLease)->host ==
                   world.Host(1).id);
  }

  // A host starts when the record of the acquisition has expired and only
  // renewals are left. Taking the lease for free would make a second holder.
  void ALeaseWhoseAcquisitionExpiredIsNotTaken() {
    lease_table table;
    const host_id holder{"a", 1};
    const lease_record renewal{9, kLease, lease_action::kRenew, holder, "1", 9};
    lease_keeper keeper(kLease, {"b", 1}, {}, milliseconds{0});
    const auto start = time_point{} + seconds{100};
    const bool took_effect = table.Take(renewal);
    keeper.Saw(renewal, took_effect, table, start);
    keeper.CaughtUp(start);
    CPPUNIT_ASSERT(!keeper.TakeDue(table, 10, "2", start + seconds{1}));
    CPPUNIT_ASSERT(keeper.TakeDue(table, 10, "3", start + seconds{16}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_keeper_test);

}  // namespace
}  // namespace slatestall
