#include "slatestall/policy/lease_table.h"

namespace slatestall {

bool lease_table::Take(const lease_record& record) {
  lease_state& state = leases_[record.lease];
  const bool overtaken = state.last_record > record.read_to;
  state.last_record = record.offset + 1;
  return !overtaken && Apply(state, record);
}

bool lease_table::Apply(lease_state& state, const lease_record& record) {
  if (record.action == lease_action::kAcquire) {
    state.holder = lease_holder{record.host, record.offset + 1, record.offset};
    state.released = false;
    return true;
  }
  // A reader whose first record of the lease is a renewal has not seen the
  // acquisition, and so not the fencing number: it waits for the next one.
  if (!state.holder || state.holder->host != record.host) {
    return false;
  }
  if (record.action == lease_action::kRelease) {
    state.holder.reset();
    state.released = true;
    return true;
  }
  state.holder->last_offset = record.offset;
  return true;
}

std::optional<lease_holder> lease_table::HolderOf(
    const std::string& lease) const {
  const auto found = leases_.find(lease);
  return found == leases_.end() ? std::nullopt : found->second.holder;
}

bool lease_table::IsReleased(const std::string& lease) const {
  const auto found = leases_.find(lease);
  return found != leases_.end() && found->second.released;
}

}  // namespace slatestall
