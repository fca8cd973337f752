#pragma once

#include "slatestall/config/field_table.h"
#include "slatestall/model/configuration.h"

namespace slatestall {

// The tables of a pipeline file; `ConfigurationFields` is its top level.
const field_table<configuration>& ConfigurationFields();
const field_table<service_config>& ServiceFields();
const field_table<endpoint>& EndpointFields();
const field_table<model_config>& ModelFields();
const field_table<pipeline_config>& PipelineFields();
const field_table<stage_config>& StageFields();
const field_table<workspace_config>& WorkspaceFields();
const field_table<workspace_limits>& LimitFields();

}  // namespace slatestall
