#include "slatestall/node/trace_recording.h"

#include <algorithm>
#include <iomanip>
#include <regex>
#include <set>
#include <sstream>
#include <utility>

#include "slatestall/policy/trace_writer.h"

namespace slatestall {
namespace {

/// Kept free for the last lines: counts of some hundred workspaces and the
/// faults that still last.
constexpr std::uint64_t kTailBytes = std::uint64_t{64} * 1024;
/// Of an engine's work, until its first token; the trace has it by service and
/// a host does not see it.
constexpr double kPrefillShare = 0.1;
constexpr std::uint64_t kSeed = 1;

trace_endpoint_model ModelOf(const service_config& service) {
  trace_endpoint_model model;
  model.service = service.name;
  model.slots = service.slots;
  model.prefill_share =
      service.kind == service_kind::kEngine ? kPrefillShare : 0;
  return model;
}

// Digests of callers' keys are replaced: a short key could be guessed from one,
// and a replay asks for no key. They stay distinct, as the file's rules demand.
std::string WithoutDigests(const std::string& source) {
  static const std::regex kDigest("[0-9a-fA-F]{64}");
  constexpr int kDigits = 64;
  std::ostringstream text;
  auto rest = source.cbegin();
  int count = 0;
  for (std::sregex_iterator found(source.begin(), source.end(), kDigest), end;
       found != end; ++found) {
    text << std::string(rest, (*found)[0].first) << std::setw(kDigits)
         << std::setfill('0') << ++count;
    rest = (*found)[0].second;
  }
  text << std::string(rest, source.cend());
  return text.str();
}

}  // namespace

trace_recording::trace_recording(trace_recording_options options,
                                 write_text write)
    : options_(std::move(options)), write_(std::move(write)) {}

void trace_recording::Observe(const control_snapshot& snapshot,
                              time_point now) {
  if (state_ == recording_state::kWaiting && snapshot.configuration) {
    Begin(snapshot, now);
  }
  if (state_ != recording_state::kRecording) {
    return;
  }
  previous_ = std::exchange(now_, now - start_);
  ObserveConfiguration(snapshot);
  ObserveHosts(snapshot);
  ObserveEndpoints(snapshot);
  ForgetMissing(snapshot);
  WriteFaults();
}

void trace_recording::Begin(const control_snapshot& snapshot, time_point now) {
  state_ = recording_state::kRecording;
  start_ = now;
  configuration_ = snapshot.configuration;
  Write(TraceHead("recorded by " + options_.host_name, kSeed));
  Write(TraceLine(trace_configuration{
      {}, configuration_->revision, WithoutDigests(configuration_->source)}));
  Write(TraceLine(trace_network{}));
}

// The change came at some moment since the last look; the earliest is written,
// so that no arrival under the new configuration comes before it.
void trace_recording::ObserveConfiguration(const control_snapshot& snapshot) {
  if (!snapshot.configuration || snapshot.configuration == configuration_) {
    return;
  }
  configuration_ = snapshot.configuration;
  Write(TraceLine(trace_configuration{previous_, configuration_->revision,
                                      WithoutDigests(configuration_->source)}));
}

// The other hosts take no arrival of this trace; they stand in it because this
// host's shares of the limits follow from how many there are.
void trace_recording::ObserveHosts(const control_snapshot& snapshot) {
  if (snapshot.live_hosts == hosts_) {
    return;
  }
  const duration at = hosts_ == 0 ? duration{} : now_;
  hosts_ = snapshot.live_hosts;
  trace_host_list list{
      at, {{options_.host_name, options_.failure_domain, options_.lanes}}};
  for (std::uint32_t i = 1; i < hosts_; ++i) {
    list.hosts.push_back({"other-" + std::to_string(i), "", 1});
  }
  Write(TraceLine(list));
}

void trace_recording::ObserveEndpoints(const control_snapshot& snapshot) {
  for (const auto& [name, service] : snapshot.services) {
    if (services_.emplace(name, true).second) {
      Write(TraceLine(ModelOf(service.config)));
    }
    for (const endpoint_view& seen : service.endpoints) {
      ObserveEndpoint(service, seen);
    }
  }
}

void trace_recording::ObserveEndpoint(const service_view& service,
                                      const endpoint_view& seen) {
  const std::string& address = seen.where.address;
  const auto [known, is_new] = reports_.emplace(address, time_point{});
  if (is_new) {
    Write(
        TraceLine(trace_endpoint{service.config.name, address,
                                 seen.where.failure_domain, seen.load.models}));
  }
  faults_.SetLeaving(address, seen.leaving || seen.load.leaving, now_);
  if (seen.load.received == known->second) {
    return;
  }
  known->second = seen.load.received;
  // One taken before the trace began is its first state.
  const duration at = std::max(duration{}, seen.load.received - start_);
  Write(TraceLine(
      trace_load_report{at, service.config.name, address, seen.load}));
}

// An endpoint that the host no longer knows gets no work either.
void trace_recording::ForgetMissing(const control_snapshot& snapshot) {
  std::set<std::string> present;
  for (const auto& [name, service] : snapshot.services) {
    for (const endpoint_view& seen : service.endpoints) {
      present.insert(seen.where.address);
    }
  }
  for (const auto& [address, reported] : reports_) {
    if (!present.contains(address)) {
      faults_.SetLeaving(address, true, now_);
    }
  }
}

void trace_recording::Ended(const request_trace& request, time_point arrived) {
  if (state_ != recording_state::kRecording || arrived < start_) {
    return;
  }
  faults_.Look(request, arrived - start_);
  const auto arrival =
      made_.Make(request, configuration_->content, arrived - start_);
  if (!arrival) {
    return;
  }
  Write(TraceLine(*arrival));
  if (state_ != recording_state::kRecording) {
    return;
  }
  ++arrivals_;
  const std::string priority(NameIn(kPriorityClassNames, request.priority));
  ++counted_[priority + ".requests"];
  ++counted_["workspace." + request.workspace + ".requests"];
}

void trace_recording::Close(time_point now) {
  if (state_ == recording_state::kRecording) {
    now_ = now - start_;
    WriteTail();
  }
  if (state_ == recording_state::kRecording ||
      state_ == recording_state::kWaiting) {
    state_ = recording_state::kClosed;
  }
}

void trace_recording::WriteFaults() {
  for (const trace_fault& fault : faults_.TakeOver()) {
    Write(TraceLine(fault));
  }
}

// Only what a replay must agree on whatever its modelled endpoints do: that
// each arrival is there, ends, and runs once where it may not be repeated.
void trace_recording::WriteTail() {
  faults_.EndAll(now_);
  for (const trace_fault& fault : faults_.TakeOver()) {
    Put(TraceLine(fault));
  }
  counted_["lost"] = 0;
  counted_["doubled"] = 0;
  for (const auto& [name, count] : counted_) {
    const auto value = static_cast<double>(count);
    Put(TraceLine(trace_outcome{0, name, value, value, std::nullopt}));
  }
}

void trace_recording::Write(const std::string& line) {
  if (state_ != recording_state::kRecording) {
    return;
  }
  if (bytes_ + line.size() + 1 + kTailBytes > options_.max_bytes) {
    WriteTail();
    if (state_ == recording_state::kRecording) {
      state_ = recording_state::kFull;
    }
    return;
  }
  Put(line);
}

void trace_recording::Put(const std::string& line) {
  if (state_ != recording_state::kRecording ||
      bytes_ + line.size() + 1 > options_.max_bytes) {
    return;
  }
  if (!write_(line + "\n")) {
    state_ = recording_state::kFailed;
    return;
  }
  bytes_ += line.size() + 1;
}

}  // namespace slatestall
