#include "slatestall/config/pipeline_file_fields.h"

#include "slatestall/config/configuration_names.h"

namespace slatestall {
namespace {

constexpr const char* kHostList = "host-list";

using type = field_type;

template <typename T, typename Value>
field<T> NamedField(std::map<std::string, Value> T::*member,
                    const field_table<Value>& table, field_spec spec) {
  spec.type = type::kNamedObjects;
  return {std::move(spec), [member, &table](const field_place& place, T& into) {
            ReadNamedObjects(place, table, into.*member);
          }};
}

template <typename T, typename Value>
field<T> ListField(std::vector<Value> T::*member,
                   const field_table<Value>& table, field_spec spec) {
  spec.type = type::kObjects;
  return {std::move(spec), [member, &table](const field_place& place, T& into) {
            ReadObjects(place, table, into.*member);
          }};
}

field<service_config> FromField() {
  return {
      {.name = "from",
       .type = type::kChoice,
       .choices = {kHostList},
       .meaning = "Takes the endpoints from the platform's host list, under "
                  "the service's name; in place of `endpoints`"},
      [](const field_place& place, service_config& into) {
        into.from_host_list = ReadChoice(place).has_value();
      }};
}

field<workspace_config> LimitsField() {
  return {{.name = "limits",
           .type = type::kObject,
           .meaning = "Limits over all hosts together; see `limits`"},
          [](const field_place& place, workspace_config& into) {
            ReadFields(place, LimitFields(), into.limits);
          }};
}

}  // namespace

const field_table<configuration>& ConfigurationFields() {
  using c = configuration;
  static const field_table<c> kTable{
      NamedField(&c::services, ServiceFields(),
                 {.name = "services",
                  .required = true,
                  .meaning = "What requests are sent to; see `service`"}),
      NamedField(&c::models, ModelFields(),
                 {.name = "models",
                  .meaning = "Models that engines serve; see `model`"}),
      NamedField(&c::pipelines, PipelineFields(),
                 {.name = "pipelines",
                  .meaning = "Requests of several stages; see `pipeline`"}),
      NamedField(&c::workspaces, WorkspaceFields(),
                 {.name = "workspaces",
                  .required = true,
                  .meaning = "Who may call what, and how much; see "
                             "`workspace`"}),
  };
  return kTable;
}

const field_table<service_config>& ServiceFields() {
  using s = service_config;
  static const field_table<s> kTable{
      EnumField(&s::kind, kServiceKindNames,
                {.name = "kind",
                 .required = true,
                 .meaning = "What its endpoints do"}),
      ListField(&s::endpoints, EndpointFields(),
                {.name = "endpoints",
                 .meaning = "A fixed list; see `endpoint`. A service has this "
                            "or `from`"}),
      FromField(),
      MemberField(&s::repeatable,
                  {.name = "repeatable",
                   .type = type::kFlag,
                   .meaning = "Whether a call is idempotent and may be retried "
                              "or hedged"}),
      EnumField(&s::order_fencing, kFencingNames,
                {.name = "fencing",
                 .meaning = "Whether its endpoints refuse an order that "
                            "carries an old fencing number"}),
      MemberField(&s::slots,
                  {.name = "slots",
                   .type = type::kWhole,
                   .unit = "calls",
                   .minimum = 1,
                   .maximum = 4096,
                   .meaning = "Calls that one endpoint runs side by side"}),
  };
  return kTable;
}

const field_table<endpoint>& EndpointFields() {
  using e = endpoint;
  static const field_table<e> kTable{
      MemberField(&e::address,
                  {.name = "address",
                   .type = type::kAddress,
                   .required = true,
                   .minimum = 1,
                   .meaning = "Where it listens; once in the file"}),
      MemberField(&e::failure_domain,
                  {.name = "failure_domain",
                   .type = type::kName,
                   .required = true,
                   .meaning = "What it fails together with"}),
  };
  return kTable;
}

const field_table<model_config>& ModelFields() {
  using m = model_config;
  static const field_table<m> kTable{
      MemberField(&m::version, {.name = "version",
                                .type = type::kName,
                                .required = true,
                                .meaning = "Version that engines load"}),
      MemberField(&m::adapters, {.name = "adapters",
                                 .type = type::kNames,
                                 .meaning = "Adapters that stages may name"}),
      MemberField(&m::replicas, {.name = "replicas",
                                 .type = type::kWhole,
                                 .unit = "engines",
                                 .minimum = 1,
                                 .maximum = 10000,
                                 .meaning = "Engines that should hold it"}),
  };
  return kTable;
}

const field_table<pipeline_config>& PipelineFields() {
  using p = pipeline_config;
  static const field_table<p> kTable{
      MemberField(&p::deadline,
                  {.name = "deadline",
                   .type = type::kDuration,
                   .unit = "written with it",
                   .minimum = 1,
                   .maximum = 60000,
                   .meaning = "Longest time from arrival to the last byte; a "
                              "request may ask for less"}),
      EnumField(
          &p::priority, kPriorityClassNames,
          {.name = "priority",
           .meaning = "`interactive`: a person waits; `batch`: may yield"}),
      MemberField(&p::objective,
                  {.name = "objective",
                   .type = type::kNumber,
                   .unit = "share",
                   .minimum = 0.5,
                   .maximum = 0.99999,
                   .meaning = "Share of requests to be answered in full within "
                              "the deadline, for `report burn`"}),
      MemberField(&p::billed,
                  {.name = "billed",
                   .type = type::kFlag,
                   .meaning = "Runs at most once; a request needs an "
                              "`Idempotency-Key`"}),
      ListField(&p::stages, StageFields(),
                {.name = "stages",
                 .required = true,
                 .meaning = "3 to 6 stages in order, the last on an engine; "
                            "see `stage`"}),
  };
  return kTable;
}

const field_table<stage_config>& StageFields() {
  using s = stage_config;
  static const field_table<s> kTable{
      MemberField(&s::name, {.name = "name",
                             .type = type::kName,
                             .required = true,
                             .meaning = "Names it in reports; once in the "
                                        "pipeline"}),
      MemberField(&s::service, {.name = "service",
                                .type = type::kName,
                                .required = true,
                                .meaning = "Service that runs it"}),
      MemberField(&s::model, {.name = "model",
                              .type = type::kName,
                              .meaning = "Model; engines need it, others have "
                                         "none"}),
      MemberField(&s::adapter, {.name = "adapter",
                                .type = type::kName,
                                .meaning = "Adapter of the model; engines "
                                           "only"}),
      MemberField(&s::max_tokens,
                  {.name = "max_tokens",
                   .type = type::kWhole,
                   .unit = "tokens",
                   .minimum = 1,
                   .maximum = 131072,
                   .meaning = "Longest answer; engines need it, others have "
                              "none"}),
      MemberField(&s::top_k,
                  {.name = "top_k",
                   .type = type::kWhole,
                   .unit = "documents",
                   .minimum = 1,
                   .maximum = 1000,
                   .meaning = "Documents handed on; retrievers and rerankers "
                              "need it, others have none"}),
  };
  return kTable;
}

const field_table<workspace_config>& WorkspaceFields() {
  using w = workspace_config;
  static const field_table<w> kTable{
      MemberField(&w::key_hashes,
                  {.name = "key_hashes",
                   .type = type::kDigests,
                   .meaning = "Digests of its keys; without any the workspace "
                              "is open to whoever names it"}),
      LimitsField(),
      MemberField(&w::weight, {.name = "weight",
                               .type = type::kNumber,
                               .minimum = 0.01,
                               .maximum = 1000,
                               .meaning = "Its part of a crowded service, "
                                          "against the other workspaces"}),
      MemberField(&w::routes, {.name = "routes",
                               .type = type::kNames,
                               .required = true,
                               .meaning = "Pipelines and plain services it may "
                                          "call"}),
  };
  return kTable;
}

const field_table<workspace_limits>& LimitFields() {
  using l = workspace_limits;
  static const field_table<l> kTable{
      MemberField(&l::requests_per_second, {.name = "requests_per_second",
                                            .type = type::kNumber,
                                            .unit = "requests per second",
                                            .minimum = 0,
                                            .maximum = 1000000,
                                            .meaning = "0: no limit"}),
      MemberField(&l::tokens_per_second, {.name = "tokens_per_second",
                                          .type = type::kNumber,
                                          .unit = "generated tokens per second",
                                          .minimum = 0,
                                          .maximum = 1000000000,
                                          .meaning = "0: no limit"}),
      MemberField(&l::concurrency, {.name = "concurrency",
                                    .type = type::kWhole,
                                    .unit = "requests",
                                    .minimum = 0,
                                    .maximum = 1000000,
                                    .meaning = "Requests running at once; 0: "
                                               "no limit"}),
  };
  return kTable;
}

}  // namespace slatestall
