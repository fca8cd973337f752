#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/reader_tree.h"

namespace slatestall {

/// @brief A fleet whose hosts ask each other whether they live, and place
/// themselves in the reader tree.
class fleet_model {
 public:
  static constexpr milliseconds kStep{50};  ///< Between two rounds.
  static constexpr std::size_t kDomains = 6;

  static std::string NameOf(std::size_t host) {
    return "h" + std::to_string(host);
  }
  static std::size_t IndexOf(const std::string& name) {
    return std::stoul(name.substr(1));
  }
  /// One in sixteen is strong.
  static double WeightOf(std::size_t host) {
    return host % 16 == 0 ? 1.0 : 0.024;
  }

  struct host {
    bool lives = true;
    bool lacks_store = false;
  };
  struct decider {
    explicit decider(const reading_host& self)
        : tree(self, time_point(std::chrono::hours(1)), disabled_mechanisms{}) {
    }

    reader_tree tree;
    home_health health;
  };

  explicit fleet_model(std::size_t hosts) : hosts_(hosts) {
    for (std::size_t i = 0; i < hosts; ++i) {
      AddDecider(i);
    }
  }

  void Run(duration time) {
    for (const auto end = now_ + time; now_ < end;) {
      for (auto& [index, one] : deciders_) {
        if (hosts_[index].lives) {
          one.tree.NoteStore(!hosts_[index].lacks_store, now_);
        }
      }
      Step();
    }
  }

  /// One round of questions, by what each host believes of the store.
  void Step() {
    for (auto& [index, one] : deciders_) {
      if (!hosts_[index].lives) {
        continue;
      }
      std::set<std::string> due;
      one.tree.AddDue(one.health, now_, due);
      asked_ += due.size();
      for (const auto& name : due) {
        Answer(one, name);
      }
    }
    now_ += kStep;
  }

  reading_place PlaceOf(std::size_t index) const {
    const auto& one = deciders_.at(index);
    return one.tree.Place(one.health, now_);
  }

  /// @returns how many hosts are passed on the way to one that reads the
  /// store.
  std::size_t StepsToStore(std::size_t index) const {
    std::size_t steps = 0;
    for (auto place = PlaceOf(index); place.source != reading_source::kStore;
         place = PlaceOf(IndexOf(place.host))) {
      CPPUNIT_ASSERT(place.source == reading_source::kHost);
      CPPUNIT_ASSERT(hosts_[IndexOf(place.host)].lives);
      CPPUNIT_ASSERT(++steps < 4);
    }
    return steps;
  }

  /// Asserts that all living hosts learn what is in the store in a few steps.
  void AssertAllServed(std::size_t most_steps, std::size_t most_readers) const {
    std::size_t readers = 0;
    for (const auto& [index, one] : deciders_) {
      if (hosts_[index].lives) {
        const auto steps = StepsToStore(index);
        CPPUNIT_ASSERT(steps <= most_steps);
        readers += steps == 0 ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(readers >= 1);
    CPPUNIT_ASSERT(readers <= most_readers);
  }

  std::size_t Readers() const {
    return static_cast<std::size_t>(
        std::count_if(deciders_.begin(), deciders_.end(), [&](const auto& one) {
          return PlaceOf(one.first).source == reading_source::kStore;
        }));
  }

  /// Of one host.
  std::size_t MostFollowers() const {
    std::map<std::string, std::size_t> followers;
    std::size_t most = 0;
    for (const auto& [index, one] : deciders_) {
      const auto place = PlaceOf(index);
      if (place.source == reading_source::kHost) {
        most = std::max(most, ++followers[place.host]);
      }
    }
    return most;
  }

  host& At(std::size_t index) { return hosts_[index]; }
  bool Lives(std::size_t index) const { return hosts_[index].lives; }
  std::size_t size() const { return hosts_.size(); }
  std::size_t Asked() const { return asked_; }
  const std::map<std::size_t, decider>& Deciders() const { return deciders_; }
  decider& DeciderAt(std::size_t index) { return deciders_.at(index); }
  time_point Now() const { return now_; }

 private:
  static reading_host Described(std::size_t index) {
    return {NameOf(index), "d" + std::to_string(index / 16 % kDomains),
            WeightOf(index)};
  }

  void AddDecider(std::size_t index) {
    auto& one = deciders_.try_emplace(index, Described(index)).first->second;
    std::vector<reading_host> others;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      others.push_back(Described(i));
    }
    one.tree.SetHosts(others);
  }

  void Answer(decider& one, const std::string& name) {
    const auto& asked = hosts_[IndexOf(name)];
    one.health.NoteAsked(name, now_);
    if (asked.lives) {
      one.health.NoteAnswer(name, false, now_);
      const auto& tree = deciders_.at(IndexOf(name)).tree;
      one.health.NoteStore(name, !tree.LacksStore(now_));
    } else {
      one.health.NoteFailure(name, now_);
    }
  }

  std::vector<host> hosts_;
  std::map<std::size_t, decider> deciders_;
  time_point now_{std::chrono::hours(1)};
  std::size_t asked_ = 0;
};

}  // namespace slatestall
