#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "slatestall/report/report_data.h"

namespace slatestall {

/// @brief Attainment and error-budget burn of one route and class.
/// @ingroup report
struct burn_row {
  route_key key;
  double objective = 0;
  std::array<std::uint64_t, kRequestOutcomes> outcomes{};
  double attainment = 1;  ///< Share of the counted requests; 1 without any.
  std::array<double, 3> latency_ms{};  ///< Quantiles 0.5, 0.95 and 0.99.
  std::array<window_counts, kBurnWindows> windows{};
  std::array<double, kBurnWindows> burn{};  ///< As `BurnRate`.
};

/// @brief One row a route and class.
/// @param objective In place of what the pipelines say, where given.
std::vector<burn_row> BurnRows(const report_data& report,
                               std::optional<double> objective);

/// @brief "5m", "1h", "6h", "3d".
std::string WindowName(std::size_t window);

nlohmann::json BurnToJson(const std::vector<burn_row>& rows,
                          const report_data& report);

/// @brief Bars of the burn rates, one group a row, a line at burn rate 1.
std::string BurnSvg(const std::vector<burn_row>& rows);

/// @brief A page of its own with the picture and the figures.
std::string BurnHtml(const std::vector<burn_row>& rows,
                     const report_data& report);

}  // namespace slatestall
