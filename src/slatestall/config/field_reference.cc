#include "slatestall/config/field_reference.h"

#include "slatestall/config/pipeline_file_fields.h"
#include "slatestall/config/settings_fields.h"

namespace slatestall {
namespace {

std::string RangeText(const field_spec& spec) {
  if (spec.type == field_type::kChoice) {
    std::string text;
    for (const std::string& choice : spec.choices) {
      text += (text.empty() ? "`" : ", `") + choice + "`";
    }
    return text;
  }
  if (spec.maximum <= spec.minimum) {
    return "";
  }
  const auto write = [&](double bound) {
    return spec.type == field_type::kDuration
               ? WriteValue(milliseconds(static_cast<std::int64_t>(bound)))
               : WriteValue(bound);
  };
  return write(spec.minimum) + " to " + write(spec.maximum);
}

std::string DefaultText(const field_spec& spec) {
  if (spec.required) {
    return "required";
  }
  return spec.default_text.empty() ? "" : "`" + spec.default_text + "`";
}

std::string Row(const field_spec& spec) {
  return "| `" + spec.name + "` | " +
         std::string(NameIn(kFieldTypeNames, spec.type)) + " | " + spec.unit +
         " | " + RangeText(spec) + " | " + DefaultText(spec) + " | " +
         spec.meaning + " |\n";
}

}  // namespace

std::vector<field_section> FieldReference() {
  return {SectionOf("file", ConfigurationFields()),
          SectionOf("service", ServiceFields()),
          SectionOf("endpoint", EndpointFields()),
          SectionOf("model", ModelFields()),
          SectionOf("pipeline", PipelineFields()),
          SectionOf("stage", StageFields()),
          SectionOf("workspace", WorkspaceFields()),
          SectionOf("limits", LimitFields()),
          SectionOf("settings", SettingsFields())};
}

std::string MarkdownTable(const field_section& section) {
  std::string text =
      "| field | type | unit | range | default | meaning |\n"
      "|---|---|---|---|---|---|\n";
  for (const field_spec& spec : section.fields) {
    text += Row(spec);
  }
  return text;
}

}  // namespace slatestall
