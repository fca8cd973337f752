#include "slatestall/gateway/host_stop.h"

namespace slatestall {

/// Until the balancer knows, all that it sends comes here, and many hosts may
/// be stopping at once: to refuse what would very likely be served costs
/// callers more than a cut in some hundreds. Later only connections remain that
/// callers kept, another host is one connection away, and only what is sure to
/// end in time is taken.
bool host_stop::Allows(time_point deadline, time_point likely_end) const {
  const time_point end =
      balancer_knows ? deadline : std::min(deadline, likely_end);
  return end <= last_answer_by;
}

}  // namespace slatestall
