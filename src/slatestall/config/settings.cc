#include "slatestall/config/settings.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "slatestall/config/problem_sink.h"
#include "slatestall/config/settings_fields.h"
#include "slatestall/config/yaml_tree.h"

namespace slatestall {
namespace {

constexpr std::string_view kVariablePrefix = "SLATESTALL_";

std::string VariableOf(const std::string& field) {
  std::string variable(kVariablePrefix);
  for (const char c : field) {
    const bool is_lower = c >= 'a' && c <= 'z';
    variable += is_lower ? static_cast<char>(c - 'a' + 'A') : c;
  }
  return variable;
}

std::string FlagOf(const std::string& field) {
  std::string flag = "--" + field;
  std::replace(flag.begin(), flag.end(), '_', '-');
  return flag;
}

// Collects over the sources: a field given by an earlier one may be given
// again, and only at the end one that is required may be missing.
class settings_loader {
 public:
  loaded_settings Load(const settings_sources& sources) {
    if (!sources.file.empty()) {
      ReadFile(sources.file);
    }
    ReadEnvironment(sources.environment);
    for (const auto& [name, value] : sources.flags) {
      ReadText("command line", name, FlagOf(name), value);
    }
    CheckRequired();
    return std::move(loaded_);
  }

 private:
  void ReadFile(const std::string& file) {
    std::ifstream stream(file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream.is_open() || stream.bad()) {
      loaded_.problems.push_back({file, 0, 0, "", "cannot be read"});
      return;
    }
    const yaml_document document = ReadYaml(text, file);
    problem_sink problems(file);
    problems.Take(document.problems);
    if (document.root) {
      ReadRoot(*document.root, problems);
    }
    Append(problems);
  }

  void ReadRoot(const yaml_node& root, problem_sink& problems) {
    if (root.kind == yaml_kind::kNull) {
      return;
    }
    const std::string top;
    const field_spec spec{.name = "settings", .type = field_type::kObject};
    problems.Remember(top, root.position);
    if (!ExpectKind({root, top, spec, problems}, yaml_kind::kMap)) {
      return;
    }
    for (const yaml_entry& entry : root.entries) {
      const std::string path = ChildPath(top, entry.key);
      const bool is_known = FindField(SettingsFields(), entry.key) != nullptr;
      problems.Remember(path, is_known ? PlaceOf(entry) : entry.key_position);
      ReadField(entry.key, path, *entry.value, problems);
    }
  }

  void ReadEnvironment(const std::map<std::string, std::string>& variables) {
    std::vector<std::string> known;
    for (const field<settings>& row : SettingsFields()) {
      known.push_back(VariableOf(row.spec.name));
      const auto found = variables.find(known.back());
      if (found != variables.end()) {
        ReadText("environment", row.spec.name, known.back(), found->second);
      }
    }
    for (const auto& [name, value] : variables) {
      const bool is_ours = name.starts_with(kVariablePrefix);
      if (is_ours &&
          std::find(known.begin(), known.end(), name) == known.end()) {
        loaded_.problems.push_back(
            {"environment", 0, 0, Shortened(name),
             "unknown variable" + Suggestion(name, known)});
      }
    }
  }

  void ReadText(const std::string& source, const std::string& name,
                const std::string& path, const std::string& value) {
    problem_sink problems(source);
    yaml_node node;
    node.kind = yaml_kind::kScalar;
    node.text = value;
    ReadField(name, path, node, problems);
    Append(problems);
  }

  void ReadField(const std::string& name, const std::string& path,
                 const yaml_node& node, problem_sink& problems) {
    const field<settings>* row = FindField(SettingsFields(), name);
    if (row == nullptr) {
      problems.Add(
          path, "unknown field" + Suggestion(name, NamesOf(SettingsFields())));
      return;
    }
    given_.insert(name);
    row->read({node, path, row->spec, problems}, loaded_.content);
  }

  void CheckRequired() {
    for (const field<settings>& row : SettingsFields()) {
      const std::string& name = row.spec.name;
      if (row.spec.required && !given_.contains(name)) {
        loaded_.problems.push_back({"settings", 0, 0, name,
                                    "missing: set it in the file, by " +
                                        VariableOf(name) + " or by " +
                                        FlagOf(name)});
      }
    }
  }

  void Append(const problem_sink& problems) {
    const std::vector<config_problem> sorted = problems.Sorted();
    loaded_.problems.insert(loaded_.problems.end(), sorted.begin(),
                            sorted.end());
  }

  loaded_settings loaded_;
  std::set<std::string> given_;
};

}  // namespace

loaded_settings LoadSettings(const settings_sources& sources) {
  return settings_loader().Load(sources);
}

std::vector<settings_flag> SettingsFlags() {
  std::vector<settings_flag> flags;
  for (const field<settings>& row : SettingsFields()) {
    if (row.spec.type == field_type::kDigests) {
      continue;  // A list; in the file only.
    }
    const std::string& name = row.spec.name;
    flags.push_back({name, FlagOf(name), VariableOf(name), row.spec.meaning});
  }
  return flags;
}

std::map<std::string, std::string> SettingsEnvironment() {
  std::map<std::string, std::string> variables;
  for (char** entry = environ; entry != nullptr && *entry != nullptr;
       ++entry) {  // NOLINT
    const std::string_view text = *entry;
    const std::size_t equals = text.find('=');
    if (text.starts_with(kVariablePrefix) && equals != std::string_view::npos) {
      variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return variables;
}

}  // namespace slatestall
