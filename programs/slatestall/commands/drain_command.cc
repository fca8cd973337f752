#include <memory>

#include "slatestall/admin_client.h"
#include "slatestall/console.h"
#include "slatestall/host_option.h"
#include "slatestall/subcommands.h"

namespace slatestall {
namespace {

struct drain_options {
  std::string host;
  bool json = false;
};

exit_code ExitCodeOf(const admin_answer& answer) {
  if (answer.answered) {
    return answer.status == 202 ? exit_code::kOk : exit_code::kNegative;
  }
  return answer.may_have_been_sent ? exit_code::kUnknown
                                   : exit_code::kUnreachable;
}

std::string TextOf(exit_code code, const admin_answer& answer) {
  if (code == exit_code::kOk) {
    return "draining: it finishes what it has in hand and ends";
  }
  if (code == exit_code::kUnknown) {
    return DetailOf(answer) +
           "; it may be draining. Draining twice does no harm: run it again, "
           "or see `slatestall status` of another host";
  }
  return DetailOf(answer) + "; it does not drain";
}

exit_code RunDrain(const drain_options& options) {
  admin_call call;
  call.method = "POST";
  call.host = options.host;
  call.path = "/v1/admin/drain";
  const admin_answer answer = SendOverHttp({call}).front();
  const exit_code code = ExitCodeOf(answer);
  const std::string text = options.host + ": " + TextOf(code, answer);
  if (options.json) {
    PrintJson({{"draining", code == exit_code::kOk}, {"detail", text}});
  } else if (code == exit_code::kOk) {
    Print(text);
  } else {
    PrintError(text);
  }
  return code;
}

}  // namespace

void AddDrain(CLI::App& app, exit_code& result) {
  auto options = std::make_shared<drain_options>();
  CLI::App* command = app.add_subcommand(
      "drain", "Shut one host down without cutting a request");
  AddHostOption(*command, options->host);
  command->add_flag("--json", options->json, "Answer in JSON");
  command->footer(kExitCodeHelp);
  command->callback([options, &result] { result = RunDrain(*options); });
}

}  // namespace slatestall
