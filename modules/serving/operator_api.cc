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

void SendJson(httplib::Response* response, int status, const Json& json) {
  response->status = status;
  response->set_content(
      json.dump(1, ' ', false, Json::error_handler_t::replace) + "\n",
      kJsonType);
}

void SendError(httplib::Response* response,
               int status,
               const std::string& code,
               const std::string& message) {
  SendJson(response, status,
           {{"error", {{"code", code}, {"message", message}}}});
}

Json FindingsToJson(const Findings& findings) {
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

int HttpStatusOf(ErrorCode code) {
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

/** Returns whether the team `viewer` may read and publish what belongs to the
    team `owner`. */
bool CanAccess(const std::string& viewer, const std::string& owner) {
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
    const bool is_ready = dependencies_.is_ready();
    response.status = is_ready ? 200 : 503;
    response.set_content(is_ready ? "ready\n" : "not ready\n", kTextType);
  });
  server->Get("/metrics", [this](const Request&, Response& response) {
    dependencies_.counters->Set(
        "chicory_requests_in_flight",
        static_cast<double>(dependencies_.broker->in_flight()));
    response.set_content(dependencies_.counters->Exposition(), kTextType);
  });
  server->Get("/timeline", [this](const Request&, Response& response) {
    response.set_content(dependencies_.timeline->ToJsonLines(),
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
                if (AuthenticateTeam(request, &response))
                  HandleUpstreams(&response);
              });
  server->Get("/admin/members",
              [this](const Request& request, Response& response) {
                if (AuthenticateTeam(request, &response))
                  HandleMembers(&response);
              });
  const auto with_body = &HttpApiServer::WithBody;
  server->Post("/admin/check",
               with_body([this](const Request& request, Response& response) {
                 HandlePublish(request, &response, /*check_only=*/true);
               }));
  server->Post("/admin/publish",
               with_body([this](const Request& request, Response& response) {
                 HandlePublish(request, &response, /*check_only=*/false);
               }));
}

std::optional<std::string> OperatorApi::AuthenticateTeam(
    const httplib::Request& request,
    httplib::Response* response) const {
  const auto snapshot = dependencies_.configuration_watcher->Current();
  if (snapshot == nullptr) {
    SendError(response, 503, "no_configuration",
              "this instance has no configuration yet");
    return std::nullopt;
  }
  const std::string header = request.get_header_value("Authorization");
  constexpr std::string_view kBearerPrefix = "Bearer ";
  const std::string token = header.size() > kBearerPrefix.size()
                                ? header.substr(kBearerPrefix.size())
                                : "";
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
  SendError(response, 401, "invalid_token",
            "the team token is missing or invalid");
  return std::nullopt;
}

void OperatorApi::HandleConfiguration(const httplib::Request& request,
                                      httplib::Response* response) const {
  const auto team = AuthenticateTeam(request, response);
  if (!team)
    return;
  const auto snapshot = dependencies_.configuration_watcher->Current();
  Json routes = Json::array();
  for (const auto& [name, route] : snapshot->configuration.routes) {
    if (!CanAccess(*team, route.team))
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
  SendJson(response, 200,
           {{"instance", dependencies_.instance},
            {"revision", snapshot->index.revision},
            {"change_id", snapshot->index.change_id},
            {"routes", routes}});
}

void OperatorApi::HandleAccounts(const httplib::Request& request,
                                 httplib::Response* response) const {
  const auto team = AuthenticateTeam(request, response);
  if (!team)
    return;
  const auto snapshot = dependencies_.configuration_watcher->Current();
  Json accounts = Json::array();
  for (const auto& [name, account] : snapshot->configuration.accounts) {
    if (!CanAccess(*team, account.team))
      continue;
    accounts.push_back({{"name", name},
                        {"team", account.team},
                        {"requests_per_second", account.requests_per_second},
                        {"tokens_per_second", account.tokens_per_second},
                        {"weight", account.weight}});
  }
  SendJson(response, 200, {{"accounts", accounts}});
}

void OperatorApi::HandleHistory(const httplib::Request& request,
                                httplib::Response* response) const {
  const auto team = AuthenticateTeam(request, response);
  if (!team)
    return;
  const auto snapshot = dependencies_.configuration_watcher->Current();
  Json entries = Json::array();
  for (const HistoryEntry& entry : snapshot->index.history) {
    if (!CanAccess(*team, entry.team))
      continue;
    entries.push_back({{"revision", entry.revision},
                       {"team", entry.team},
                       {"published_by", entry.published_by},
                       {"change_id", entry.change_id},
                       {"time", entry.time_unix_seconds}});
  }
  SendJson(response, 200, {{"history", entries}});
}

void OperatorApi::HandleUpstreams(httplib::Response* response) const {
  Json upstreams = Json::array();
  dependencies_.broker->RunOnDispatcher([&](Dispatcher& dispatcher,
                                            absl::Time now) {
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
  SendJson(response, 200, {{"upstreams", upstreams}});
}

void OperatorApi::HandleMembers(httplib::Response* response) const {
  Json members = Json::array();
  dependencies_.peers->Inspect([&](const GossipNode& gossip) {
    for (const auto& [name, row] : gossip.members()) {
      members.push_back({{"name", name},
                         {"address", row.address},
                         {"data_centre", row.data_centre},
                         {"state", MemberStateName(row.state)}});
    }
  });
  std::sort(members.begin(), members.end(),
            [](const Json& a, const Json& b) { return a["name"] < b["name"]; });
  SendJson(response, 200,
           {{"instance", dependencies_.instance}, {"members", members}});
}

void OperatorApi::HandlePublish(const httplib::Request& request,
                                httplib::Response* response,
                                bool check_only) const {
  const auto team = AuthenticateTeam(request, response);
  if (!team)
    return;
  std::vector<SourceFile> files;
  ConfigurationPublisher::Request publish_request;
  try {
    const auto json = nlohmann::json::parse(request.body);
    for (const auto& [name, text] : json.at("files").items())
      files.push_back({.name = name, .text = text.get<std::string>()});
    publish_request.change_id = json.value("change_id", "");
    publish_request.base_revision = json.value("base_revision", uint64_t{0});
    publish_request.published_by = json.value("published_by", *team);
  } catch (const nlohmann::json::exception& exception) {
    SendError(response, 400, "invalid_request", exception.what());
    return;
  }
  Findings findings;
  publish_request.files = ConfigurationPublisher::GroupByTeam(files, &findings);
  for (const auto& [owner, team_files] : publish_request.files) {
    if (CanAccess(*team, owner))
      continue;
    SendError(
        response, 403, "not_allowed",
        absl::StrCat("team ", *team, " may not publish files of team ", owner));
    return;
  }
  if (findings.empty()) {
    const auto checked = Capture([&] {
      return dependencies_.publisher->Check(publish_request.files, &findings);
    });
    if (!checked.ok) {
      SendError(response, HttpStatusOf(checked.error.code),
                ErrorCodeName(checked.error.code), checked.error.message);
      return;
    }
  }
  if (!findings.empty() || check_only) {
    SendJson(response, findings.empty() ? 200 : 400,
             {{"findings", FindingsToJson(findings)}});
    return;
  }
  publish_request.now = absl::Now();
  if (publish_request.change_id.empty()) {
    publish_request.change_id = absl::StrCat(
        dependencies_.instance, "-", absl::ToUnixNanos(publish_request.now));
  }
  const auto revision = Capture(
      [&] { return dependencies_.publisher->Publish(publish_request); });
  if (!revision.ok) {
    SendError(response, HttpStatusOf(revision.error.code),
              ErrorCodeName(revision.error.code), revision.error.message);
    return;
  }
  SendJson(
      response, 200,
      {{"revision", revision.value}, {"change_id", publish_request.change_id}});
}

}  // namespace chicory
