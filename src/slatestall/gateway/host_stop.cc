#include "slatestall/gateway/host_stop.h"

#include <algorithm>

namespace slatestall {

host_stop host_stop::Begin(time_point now, milliseconds grace,
                           milliseconds balancer_lag) {
  const milliseconds none(0);
  host_stop stop;
  stop.told_at = now;
  stop.likely_until = now + std::max(none, balancer_lag - kLagReserve);
  stop.last_answer_by = now + std::max(none, grace - kReserve);
  return stop;
}

milliseconds host_stop::AnswerTime(milliseconds grace,
                                   milliseconds balancer_lag) {
  return std::max(milliseconds(0), grace - balancer_lag - kReserve);
}

/// Until the balancer knows, all that it sends comes here, and many hosts may
/// be stopping at once: to refuse what would very likely be served costs
/// callers more than a cut in some hundreds. Later only connections remain that
/// callers kept, another host is one connection away, and only what is sure to
/// end in time is taken.
bool host_stop::Allows(time_point now, time_point deadline,
                       time_point likely_end) const {
  const time_point end =
      now < likely_until ? std::min(deadline, likely_end) : deadline;
  return !takes_none && end <= last_answer_by;
}

}  // namespace slatestall
