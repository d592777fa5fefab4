#include "modules/serving/operator_api.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"
#include "nlohmann/json.hpp"

namespace chicory {

namespace {

using Json = nlohmann::ordered_json;

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain";

void Send(httplib::Response* response, int status, const Json& json) {
  response->status = status;
  response->set_content(
      json.dump(1, ' ', false, Json::error_handler_t::replace) + "\n",
      kJsonType);
}

void SendProblem(httplib::Response* response,
                 int status,
                 const std::string& code,
                 const std::string& message) {
  Send(response, status, {{"error", {{"code", code}, {"message", message}}}});
}

Json FindingsJson(const Findings& findings) {
  Json list = Json::array();
  for (const Finding& finding : findings.Sorted()) {
    list.push_back({{"file", finding.file},
                    {"line", finding.line},
                    {"column", finding.column},
                    {"path", finding.path},
                    {"code", finding.code},
                    {"problem", finding.problem},
                    {"expected", finding.expected}});
  }
  return list;
}

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return 400;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kUnavailable:
    case ErrorCode::kOutcomeUnknown:
    case ErrorCode::kTimeout:
      return 503;
  }
  return 500;
}

bool MaySee(const std::string& viewer, const std::string& owner) {
  return viewer == kPlatformTeam || viewer == owner;
}

}  // namespace

void OperatorApi::AddRoutes(httplib::Server* server) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server->Get("/health", [](const Request&, Response& response) {
    response.set_content("ok\n", kTextType);
  });
  server->Get("/ready", [this](const Request&, Response& response) {
    const bool is_ready = parts_.is_ready();
    response.status = is_ready ? 200 : 503;
    response.set_content(is_ready ? "ready\n" : "not ready\n", kTextType);
  });
  server->Get("/metrics", [this](const Request&, Response& response) {
    parts_.counters->Set("chicory_requests_in_flight",
                         static_cast<double>(parts_.broker->in_flight()));
    response.set_content(parts_.counters->Exposition(), kTextType);
  });
  server->Get("/timeline", [this](const Request&, Response& response) {
    response.set_content(parts_.time_line->ToJsonLines(),
                         "application/x-ndjson");
  });
  server->Get("/admin/configuration",
              [this](const Request& request, Response& response) {
                HandleConfiguration(request, &response);
              });
  server->Get("/admin/accounts",
              [this](const Request& request, Response& response) {
                HandleAccounts(request, &response);
              });
  server->Get("/admin/history",
              [this](const Request& request, Response& response) {
                HandleHistory(request, &response);
              });
  server->Get("/admin/upstreams",
              [this](const Request& request, Response& response) {
                if (TeamOf(request, &response))
                  HandleUpstreams(&response);
              });
  server->Get("/admin/members",
              [this](const Request& request, Response& response) {
                if (TeamOf(request, &response))
                  HandleMembers(&response);
              });
  server->Post("/admin/check",
               [this](const Request& request, Response& response) {
                 HandlePublish(request, &response, /*only_check=*/true);
               });
  server->Post("/admin/publish",
               [this](const Request& request, Response& response) {
                 HandlePublish(request, &response, /*only_check=*/false);
               });
}

std::optional<std::string> OperatorApi::TeamOf(
    const httplib::Request& request,
    httplib::Response* response) const {
  const auto snapshot = parts_.configuration_watcher->Current();
  if (snapshot == nullptr) {
    SendProblem(response, 503, "no_configuration",
                "this instance knows no configuration yet");
    return std::nullopt;
  }
  const std::string header = request.get_header_value("Authorization");
  constexpr std::string_view kScheme = "Bearer ";
  const std::string token =
      header.size() > kScheme.size() ? header.substr(kScheme.size()) : "";
  const size_t dot = token.find('.');
  auto found = snapshot->configuration.teams.find(
      token.substr(0, dot == std::string::npos ? 0 : dot));
  if (found != snapshot->configuration.teams.end()) {
    const Team& team = found->second;
    if (ConstantTimeEquals(Sha256Hex(team.token_salt + token),
                           team.token_sha256)) {
      return team.name;
    }
  }
  SendProblem(response, 401, "invalid_token",
              "the team's token is missing or wrong");
  return std::nullopt;
}

void OperatorApi::HandleConfiguration(const httplib::Request& request,
                                      httplib::Response* response) const {
  const auto team = TeamOf(request, response);
  if (!team)
    return;
  const auto snapshot = parts_.configuration_watcher->Current();
  Json routes = Json::array();
  for (const auto& [name, route] : snapshot->configuration.routes) {
    if (!MaySee(*team, route.team))
      continue;
    routes.push_back(
        {{"name", name},
         {"team", route.team},
         {"path", route.path},
         {"pool", route.pool},
         {"models", route.models},
         {"repeat", route.repeat == RepeatRule::kNever ? "never" : "safe"},
         {"priority", route.priority}});
  }
  Send(response, 200,
       {{"instance", parts_.instance},
        {"revision", snapshot->index.revision},
        {"change_id", snapshot->index.change_id},
        {"routes", routes}});
}

void OperatorApi::HandleAccounts(const httplib::Request& request,
                                 httplib::Response* response) const {
  const auto team = TeamOf(request, response);
  if (!team)
    return;
  const auto snapshot = parts_.configuration_watcher->Current();
  Json accounts = Json::array();
  for (const auto& [name, account] : snapshot->configuration.accounts) {
    if (!MaySee(*team, account.team))
      continue;
    accounts.push_back({{"name", name},
                        {"team", account.team},
                        {"requests_per_second", account.requests_per_second},
                        {"tokens_per_second", account.tokens_per_second},
                        {"weight", account.weight}});
  }
  Send(response, 200, {{"accounts", accounts}});
}

void OperatorApi::HandleHistory(const httplib::Request& request,
                                httplib::Response* response) const {
  const auto team = TeamOf(request, response);
  if (!team)
    return;
  const auto snapshot = parts_.configuration_watcher->Current();
  Json entries = Json::array();
  for (const HistoryEntry& entry : snapshot->index.history) {
    if (!MaySee(*team, entry.team))
      continue;
    entries.push_back({{"revision", entry.revision},
                       {"team", entry.team},
                       {"published_by", entry.published_by},
                       {"change_id", entry.change_id},
                       {"time", entry.time_unix_seconds}});
  }
  Send(response, 200, {{"history", entries}});
}

void OperatorApi::HandleUpstreams(httplib::Response* response) const {
  Json upstreams = Json::array();
  parts_.broker->RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time now) {
    for (const auto& [id, row] : dispatcher.upstreams().rows()) {
      upstreams.push_back(
          {{"name", row.name},
           {"pool", row.pool},
           {"address", row.address},
           {"data_centre", row.data_centre},
           {"models", row.models},
           {"state", UpstreamStateName(row.state)},
           {"attempts", row.placements.size()},
           {"memory_tokens", row.report.memory_tokens},
           {"free_memory_tokens", row.FreeMemory(kPriorityLevels - 1)},
           {"report_age_ms",
            row.report.incarnation == 0
                ? -1
                : absl::ToInt64Milliseconds(now - row.report.measured_at)}});
    }
  });
  std::sort(upstreams.begin(), upstreams.end(),
            [](const Json& a, const Json& b) { return a["name"] < b["name"]; });
  Send(response, 200, {{"upstreams", upstreams}});
}

void OperatorApi::HandleMembers(httplib::Response* response) const {
  Json members = Json::array();
  parts_.peers->Inspect([&](const GossipNode& gossip) {
    for (const auto& [name, row] : gossip.members()) {
      members.push_back({{"name", name},
                         {"address", row.address},
                         {"data_centre", row.data_centre},
                         {"state", MemberStateName(row.state)}});
    }
  });
  std::sort(members.begin(), members.end(),
            [](const Json& a, const Json& b) { return a["name"] < b["name"]; });
  Send(response, 200, {{"instance", parts_.instance}, {"members", members}});
}

void OperatorApi::HandlePublish(const httplib::Request& request,
                                httplib::Response* response,
                                bool only_check) const {
  const auto team = TeamOf(request, response);
  if (!team)
    return;
  std::vector<SourceFile> files;
  ConfigurationPublisher::Request publish;
  try {
    const auto json = nlohmann::json::parse(request.body);
    for (const auto& [name, text] : json.at("files").items())
      files.push_back({.name = name, .text = text.get<std::string>()});
    publish.change_id = json.value("change_id", "");
    publish.base_revision = json.value("base_revision", uint64_t{0});
    publish.published_by = json.value("published_by", *team);
  } catch (const nlohmann::json::exception& exception) {
    SendProblem(response, 400, "invalid_request", exception.what());
    return;
  }
  Findings findings;
  publish.files = ConfigurationPublisher::GroupByTeam(files, &findings);
  for (const auto& [owner, owned] : publish.files) {
    if (MaySee(*team, owner))
      continue;
    SendProblem(
        response, 403, "not_allowed",
        absl::StrCat("team ", *team, " may not publish files of team ", owner));
    return;
  }
  if (findings.empty()) {
    const auto checked = Capture(
        [&] { return parts_.publisher->Check(publish.files, &findings); });
    if (!checked.ok) {
      SendProblem(response, StatusOf(checked.error.code),
                  ErrorCodeName(checked.error.code), checked.error.message);
      return;
    }
  }
  if (!findings.empty() || only_check) {
    Send(response, findings.empty() ? 200 : 400,
         {{"findings", FindingsJson(findings)}});
    return;
  }
  publish.now = absl::Now();
  if (publish.change_id.empty()) {
    publish.change_id =
        absl::StrCat(parts_.instance, "-", absl::ToUnixNanos(publish.now));
  }
  const auto revision =
      Capture([&] { return parts_.publisher->Publish(publish); });
  if (!revision.ok) {
    SendProblem(response, StatusOf(revision.error.code),
                ErrorCodeName(revision.error.code), revision.error.message);
    return;
  }
  Send(response, 200,
       {{"revision", revision.value}, {"change_id", publish.change_id}});
}

}  // namespace chicory
