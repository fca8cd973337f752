#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "slatestall/dispatch/home_health.h"
#include "slatestall/dispatch/mechanism.h"
#include "slatestall/model/time.h"

namespace slatestall {

/// @brief A host that may read the store for others.
/// @ingroup dispatch
struct reading_host {
  std::string host;
  std::string failure_domain;
  double weight = 1.0;  ///< As for homes: strong hosts read for weak ones.
};

enum class reading_source {
  kUndecided,  ///< Hosts that come first are being asked whether they live.
  kStore,      ///< This host reads the store itself.
  kHost,       ///< It follows another host.
};

struct reading_place {
  reading_source source = reading_source::kUndecided;
  std::string host;            ///< `kHost`: the one that it follows.
  bool follows_relay = false;  ///< That one follows a reader itself.
};

/// @brief Whom a host follows to learn what is in the store's topics. Pure
/// state; the time comes in.
///
/// The first two hosts of the order that it answers read the store, also those
/// that a relay of their failure domain ranks before. In a small fleet all
/// other hosts follow them; in a larger one a few relays of each failure domain
/// do, and the other hosts of the domain follow its relays. So a host has a
/// bounded number of followers up to some two thousand hosts, and changes reach
/// all of them in two steps.
///
/// All hosts rank each other in the same order without any message, and each
/// follows one that ranks before it, so that hosts never follow each other in a
/// circle. Only a host that the store turns away may follow a later one, which
/// then reads the store itself.
/// @ingroup dispatch
class reader_tree {
 public:
  reader_tree(reading_host self, time_point started,
              const disabled_mechanisms& disabled);

  void SetHosts(const std::vector<reading_host>& others);
  /// @brief A read of this host's own; one that failed keeps it from reading
  /// for others for some seconds.
  void NoteStore(bool answers, time_point now);
  bool LacksStore(time_point now) const { return now < lacks_store_until_; }

  reading_place Place(const home_health& health, time_point now) const;
  /// @brief Adds the hosts to be asked now whether they live.
  void AddDue(const home_health& health, time_point now,
              std::set<std::string>& due) const;
  /// @brief Living hosts that are likely to know the store's topics, the most
  /// likely first.
  std::vector<std::string> Sources(const home_health& health,
                                   std::size_t count) const;
  /// @brief The first host of the order that lives, or this one.
  const std::string& First(const home_health& health) const;
  /// @brief Whether all hosts follow the readers directly.
  bool IsFlat() const { return RelayCount() == 0; }
  /// @brief Hosts listed, with this one.
  std::size_t Hosts() const { return order_.size(); }

 private:
  /// The living hosts before this one in an order.
  struct hosts_before {
    std::vector<std::string> living;
    bool has_unknown = false;
  };

  std::size_t RelayCount() const;
  hosts_before Before(const std::vector<std::string>& order, std::size_t count,
                      const home_health& health, bool needs_store) const;
  const std::string& PickOf(const std::vector<std::string>& hosts) const;

  reading_host self_;
  time_point started_;
  disabled_mechanisms disabled_;
  std::vector<std::string> order_;  ///< All hosts, the first reader first.
  std::vector<std::string> domain_order_;  ///< Those of the own failure domain.
  bool listed_ = false;
  time_point lacks_store_until_{};
};

}  // namespace slatestall
