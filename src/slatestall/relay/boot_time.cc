#include "slatestall/relay/boot_time.h"

#include <ctime>

namespace slatestall {

time_point BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace slatestall
