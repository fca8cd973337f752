#include "standins/platform/platform_faults.h"

#include <stdexcept>
#include <string>

#include "slatestall/model/name_table.h"

namespace slatestall {
namespace {

enum class log_outage { kNone, kAll, kReads, kAppends };

constexpr name_table<log_outage, 4> kLogOutageNames{{
    {log_outage::kNone, "none"},
    {log_outage::kAll, "all"},
    {log_outage::kReads, "reads"},
    {log_outage::kAppends, "appends"},
}};

constexpr name_table<outage_form, 3> kOutageFormNames{{
    {outage_form::kError, "error"},
    {outage_form::kClose, "close"},
    {outage_form::kHang, "hang"},
}};

template <typename Enum, std::size_t N>
Enum ValueOrThrow(const name_table<Enum, N>& table, const std::string& name) {
  const auto value = ValueIn(table, name);
  if (!value) {
    throw std::invalid_argument("unknown value " + name);
  }
  return *value;
}

void ApplyField(const std::string& field, const nlohmann::json& value,
                platform_faults& faults) {
  if (field == "outage") {
    const auto outage = ValueOrThrow(kLogOutageNames, value);
    faults.reads_down =
        outage == log_outage::kAll || outage == log_outage::kReads;
    faults.appends_down =
        outage == log_outage::kAll || outage == log_outage::kAppends;
  } else if (field == "list_down") {
    faults.list_down = value.get<bool>();
  } else if (field == "weights_down") {
    faults.weights_down = value.get<bool>();
  } else if (field == "form") {
    faults.form = ValueOrThrow(kOutageFormNames, value);
  } else if (field == "slow_ms") {
    faults.slow = milliseconds(value.get<int>());
  } else if (field == "lose_append_answers") {
    faults.lose_append_answers = value.get<std::uint32_t>();
  } else {
    throw std::invalid_argument("unknown fault " + field);
  }
}

}  // namespace

void ApplyFaultChange(const nlohmann::json& change, platform_faults& faults) {
  platform_faults changed = faults;
  for (const auto& [field, value] : change.items()) {
    ApplyField(field, value, changed);
  }
  faults = changed;
}

nlohmann::json ToJson(const platform_faults& faults) {
  return {{"reads_down", faults.reads_down},
          {"appends_down", faults.appends_down},
          {"list_down", faults.list_down},
          {"weights_down", faults.weights_down},
          {"form", NameIn(kOutageFormNames, faults.form)},
          {"slow_ms", faults.slow.count()},
          {"lose_append_answers", faults.lose_append_answers}};
}

}  // namespace slatestall
