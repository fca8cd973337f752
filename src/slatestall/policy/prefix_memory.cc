#include "slatestall/policy/prefix_memory.h"

namespace slatestall {
namespace {

constexpr std::size_t kSlots = 2048;
const std::string kNoAddress;

}  // namespace

void prefix_memory::Remember(std::uint64_t prefix, const std::string& address) {
  // Most services have no prompts and never need the table.
  slots_.resize(kSlots);
  slots_[prefix % kSlots] = {prefix, address};
}

const std::string& prefix_memory::Find(std::uint64_t prefix) const {
  if (slots_.empty()) {
    return kNoAddress;
  }
  const slot& found = slots_[prefix % kSlots];
  return found.prefix == prefix ? found.address : kNoAddress;
}

}  // namespace slatestall
