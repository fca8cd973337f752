#include "slatestall/config/pipeline_file.h"

#include "slatestall/config/configuration_checks.h"
#include "slatestall/config/pipeline_file_fields.h"
#include "slatestall/config/problem_sink.h"
#include "slatestall/config/yaml_tree.h"

namespace slatestall {

parsed_configuration ParseConfiguration(const std::string& text,
                                        const std::string& file) {
  parsed_configuration parsed;
  const yaml_document document = ReadYaml(text, file);
  problem_sink problems(file);
  problems.Take(document.problems);
  if (document.root) {
    const std::string top;
    const field_spec spec{.name = "file", .type = field_type::kObject};
    problems.Remember(top, document.root->position);
    ReadFields({*document.root, top, spec, problems}, ConfigurationFields(),
               parsed.content);
    CheckConfiguration(parsed.content, problems);
  }
  parsed.problems = problems.Sorted();
  return parsed;
}

}  // namespace slatestall
