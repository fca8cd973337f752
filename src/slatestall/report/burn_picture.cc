#include <algorithm>
#include <array>
#include <cstdio>

#include "slatestall/report/burn_report.h"

namespace slatestall {
namespace {

constexpr double kLabelWidth = 240;
constexpr double kPlotWidth = 480;
constexpr double kValueWidth = 80;
constexpr double kBarHeight = 10;
constexpr double kGroupHeight = 4 * kBarHeight + 16;
constexpr double kTop = 32;
constexpr std::size_t kMaxLabel = 26;
// Behind each text, for the line at burn rate 1 crosses some.
constexpr const char* kHalo =
    "<style>text{paint-order:stroke;stroke:#fff;stroke-width:3px}</style>\n"
    "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
// At least this burn rate is on the scale, so that a quiet system does not
// show its smallest miss as a full bar.
constexpr double kLeastScale = 2;
constexpr std::array<const char*, kBurnWindows> kColours{"#b2182b", "#ef8a62",
                                                         "#67a9cf", "#2166ac"};

std::string Fixed(double value, int digits) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);  // NOLINT
  return text.data();
}

std::string Escaped(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string TitleOf(const burn_row& row) {
  return Escaped(row.key.route) + " (" +
         std::string(NameIn(kPriorityClassNames, row.key.priority)) + ")";
}

// A name has up to 64 characters, which would run into the bars; the table of
// the page has it whole.
std::string ShortTitleOf(const burn_row& row) {
  burn_row shown = row;
  if (shown.key.route.size() > kMaxLabel) {
    shown.key.route.resize(kMaxLabel - 2);
    shown.key.route += "..";
  }
  return TitleOf(shown);
}

double ScaleOf(const std::vector<burn_row>& rows) {
  double largest = kLeastScale;
  for (const burn_row& row : rows) {
    largest =
        std::max(largest, *std::max_element(row.burn.begin(), row.burn.end()));
  }
  return kPlotWidth / largest;
}

std::string Text(double x, double y, const std::string& text) {
  return "<text x=\"" + Fixed(x, 1) + "\" y=\"" + Fixed(y, 1) + "\">" + text +
         "</text>\n";
}

std::string Bar(double y, double width, const char* colour) {
  return "<rect x=\"" + Fixed(kLabelWidth, 1) + "\" y=\"" + Fixed(y, 1) +
         "\" width=\"" + Fixed(std::max(width, 1.0), 1) + "\" height=\"" +
         Fixed(kBarHeight - 2, 1) + "\" fill=\"" + colour + "\"/>\n";
}

std::string Group(const burn_row& row, double top, double scale) {
  std::string text = Text(4, top + 2 * kBarHeight, ShortTitleOf(row));
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    const double y = top + static_cast<double>(i) * kBarHeight;
    const double width = row.burn[i] * scale;
    text += Bar(y, width, kColours[i]);
    text += Text(kLabelWidth + width + 4, y + kBarHeight - 2,
                 WindowName(i) + " " + Fixed(row.burn[i], 2));
  }
  return text;
}

std::string BudgetLine(double scale, double height) {
  const std::string x = Fixed(kLabelWidth + scale, 1);
  return "<line x1=\"" + x + "\" x2=\"" + x + "\" y1=\"20\" y2=\"" +
         Fixed(height, 1) + "\" stroke=\"#444\" stroke-dasharray=\"4 3\"/>\n" +
         Text(kLabelWidth + scale - 40, 14, "burn rate 1");
}

std::string TableRow(const burn_row& row) {
  std::string text = "<tr><td>" + TitleOf(row) + "</td><td>" +
                     Fixed(row.objective * 100, 3) + " %</td><td>" +
                     Fixed(row.attainment * 100, 3) + " %</td>";
  for (const double burn : row.burn) {
    text += "<td>" + Fixed(burn, 2) + "</td>";
  }
  for (const double latency : row.latency_ms) {
    text += "<td>" + Fixed(latency, 0) + "</td>";
  }
  return text + "</tr>\n";
}

std::string TableHead() {
  std::string text = "<tr><th>route</th><th>objective</th><th>attained</th>";
  for (std::size_t i = 0; i < kBurnWindows; ++i) {
    text += "<th>burn " + WindowName(i) + "</th>";
  }
  return text + "<th>p50 ms</th><th>p95 ms</th><th>p99 ms</th></tr>\n";
}

std::string RunTime(milliseconds run) {
  return Fixed(static_cast<double>(run.count()) / 3600000, 1) + " h";
}

}  // namespace

std::string BurnSvg(const std::vector<burn_row>& rows) {
  const double scale = ScaleOf(rows);
  const std::size_t groups = std::max<std::size_t>(rows.size(), 1);
  const double height = kTop + static_cast<double>(groups) * kGroupHeight;
  const std::string size_x = Fixed(kLabelWidth + kPlotWidth + kValueWidth, 0);
  const std::string size_y = Fixed(height, 0);
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    size_x + "\" height=\"" + size_y + "\" viewBox=\"0 0 " +
                    size_x + " " + size_y +
                    "\" font-family=\"sans-serif\" font-size=\"10\">\n" +
                    kHalo + BudgetLine(scale, height);
  if (rows.empty()) {
    svg += Text(4, kTop + 2 * kBarHeight, "no requests counted yet");
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    svg += Group(rows[i], kTop + static_cast<double>(i) * kGroupHeight, scale);
  }
  return svg + "</svg>\n";
}

std::string BurnHtml(const std::vector<burn_row>& rows,
                     const report_data& report) {
  std::string html =
      "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
      "<title>Service-level burn</title>\n"
      "<style>body{font-family:sans-serif}table{border-collapse:collapse}"
      "td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ccc}"
      "td:first-child,th:first-child{text-align:left}</style></head><body>\n"
      "<h1>Service-level burn</h1>\n<p>Burn rate 1 spends the error budget "
      "exactly. Counted for " +
      RunTime(report.shortest_run) + " (youngest host) to " +
      RunTime(report.longest_run) +
      " (oldest host); a longer window is not covered whole.</p>\n" +
      BurnSvg(rows) + "<table>\n" + TableHead();
  for (const burn_row& row : rows) {
    html += TableRow(row);
  }
  return html + "</table></body></html>\n";
}

}  // namespace slatestall
