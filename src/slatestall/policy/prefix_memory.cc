#include "slatestall/policy/prefix_memory.h"

namespace slatestall {
namespace {

constexpr std::size_t kSlots = 2048;
const std::string kNoAddress;

}  // namespace

prefix_memory::prefix_memory() : slots_(kSlots) {}

void prefix_memory::Remember(std::uint64_t prefix, const std::string& address) {
  slots_[prefix % kSlots] = {prefix, address};
}

const std::string& prefix_memory::Find(std::uint64_t prefix) const {
  const slot& found = slots_[prefix % kSlots];
  return found.prefix == prefix ? found.address : kNoAddress;
}

}  // namespace slatestall
