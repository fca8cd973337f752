#pragma once

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "slatestall/model/name_table.h"
#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief What the rows of a cost report are.
/// @ingroup report
enum class cost_grouping { kStage, kPipeline, kWorkspace, kAll };

inline constexpr name_table<cost_grouping, 4> kCostGroupingNames{{
    {cost_grouping::kStage, "stage"},
    {cost_grouping::kPipeline, "pipeline"},
    {cost_grouping::kWorkspace, "workspace"},
    {cost_grouping::kAll, "all"},
}};

/// @brief Cost of one group; parts of the key it does not tell are "*".
struct cost_row {
  cost_key key;
  cost_by_use uses{};
  cost_counts used;
  cost_counts wasted;
  double wasted_share = 0;  ///< Of the endpoint time.
};

/// @brief `kStage` groups by pipeline and stage, `kPipeline` by pipeline,
/// `kWorkspace` by workspace, `kAll` not at all.
std::vector<cost_row> CostRows(const report_data& report,
                               cost_grouping grouping);

nlohmann::json CostToJson(const std::vector<cost_row>& rows);

}  // namespace slatestall
