#include "modules/config/configuration.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace chicory {

namespace {

absl::string_view ToAbslView(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

/** Adds the contents of files to a configuration, one file after the other, and
    reports conflicts between them. */
class ConfigurationMerger {
 public:
  ConfigurationMerger(Configuration* configuration, Findings* findings)
      : configuration_(configuration), findings_(findings) {}

  /** Adds a file that was published by `team`. */
  void AddFile(const std::string& team, const SourceFile& file) {
    file_ = file.name;
    const CheckedFile checked = SchemaChecker::Check(
        file.name, file.text, ConfigurationSections(), findings_);
    for (const auto& [section, rows] : checked.sections) {
      for (const CheckedRow& row : rows)
        AddRow(team, section, row);
    }
  }

  /** Checks that all priorities that routes refer to exist. Call after all
      files were added. */
  void CheckReferences() {
    for (const auto& [name, reference] : priority_references_) {
      if (configuration_->priorities.count(name) != 0)
        continue;
      Finding finding = reference;
      finding.problem = absl::StrCat("there is no priority `", name, "`");
      findings_->Add(std::move(finding));
    }
  }

 private:
  void Report(const CheckedRow& row,
              const char* key,
              std::string path,
              std::string code,
              std::string problem,
              std::string expected) {
    const CheckedRow::Location location = row.location(key);
    findings_->Add({.file = file_,
                    .line = location.line,
                    .column = location.column,
                    .path = std::move(path),
                    .code = std::move(code),
                    .problem = std::move(problem),
                    .expected = std::move(expected)});
  }

  void AddRow(const std::string& team,
              const std::string& section,
              const CheckedRow& row) {
    if (section == "owner") {
      if (row.text("team") != team) {
        Report(row, "team", "owner.team", "wrong-team",
               absl::StrCat("the file names team `", row.text("team"), "`"),
               team);
      }
      return;
    }
    if (section == "routes")
      return AddRoute(team, row);
    if (section == "client_accounts")
      return AddAccount(team, row);
    if (team != kPlatformTeam) {
      Report(row, "name", section, "not-allowed",
             absl::StrCat("team `", team, "` may not publish this section"),
             "team `platform`");
      return;
    }
    if (section == "priorities") {
      PriorityLevel level{.name = row.text("name"),
                          .rank = static_cast<int>(row.integer("rank"))};
      AddUnique(&configuration_->priorities, section, row, std::move(level));
    } else if (section == "length_classes") {
      AddLengthClass(row);
    } else if (section == "teams") {
      Team added{.name = row.text("name"),
                 .token_salt = row.text("token_salt"),
                 .token_sha256 = row.text("token_sha256")};
      AddUnique(&configuration_->teams, section, row, std::move(added));
    } else if (section == "retries") {
      configuration_->retries = {
          .retry_share = row.number("retry_share"),
          .max_attempts = static_cast<int>(row.integer("max_attempts")),
          .base_backoff = row.duration("base_backoff"),
          .max_deaths = static_cast<int>(row.integer("max_deaths"))};
    }
  }

  /** Adds `value` to `table` under its name, which must be unique. */
  template <class T>
  void AddUnique(std::map<std::string, T>* table,
                 const std::string& section,
                 const CheckedRow& row,
                 T value) {
    const std::string name = value.name;
    if (!table->emplace(name, std::move(value)).second) {
      Report(row, "name", section + ".name", "duplicate-name",
             absl::StrCat("`", name, "` is also defined in another file"),
             "a unique name");
    }
  }

  void AddRoute(const std::string& team, const CheckedRow& row) {
    Route route{.name = row.text("name"),
                .team = team,
                .path = row.text("path"),
                .kind = row.text("kind") == "model" ? RouteKind::kModel
                                                    : RouteKind::kService,
                .pool = row.text("pool"),
                .models = row.text_list("models"),
                .repeat = row.text("repeat") == "never" ? RepeatRule::kNever
                                                        : RepeatRule::kSafe,
                .timeout = row.duration("timeout"),
                .priority = row.text("priority")};
    if (route.kind == RouteKind::kModel && route.models.empty()) {
      Report(row, "models", "routes.models", "missing-key",
             "the model route lists no models", "at least one model");
    }
    if (route.kind == RouteKind::kModel && route.repeat == RepeatRule::kNever) {
      Report(row, "repeat", "routes.repeat", "not-allowed",
             "requests of a model route are always safe to repeat", "safe");
    }
    if (route.path.empty() || route.path[0] != '/' ||
        absl::StartsWith(route.path, "/v1/")) {
      Report(row, "path", "routes.path", "bad-path",
             absl::StrCat("`", route.path, "`"),
             "a path that begins with `/` and not with `/v1/`");
    }
    for (const auto& [name, other] : configuration_->routes) {
      if (other.path == route.path && other.name != route.name) {
        Report(row, "path", "routes.path", "duplicate-path",
               absl::StrCat("route `", name, "` has the same path"),
               "a unique path");
      }
      for (const std::string& model : route.models) {
        if (std::count(other.models.begin(), other.models.end(), model) == 0)
          continue;
        Report(row, "models", "routes.models", "duplicate-model",
               absl::StrCat("route `", name, "` also offers `", model, "`"),
               "each model on one route only");
      }
    }
    if (!route.priority.empty())
      AddPriorityReference(row, route.priority);
    AddUnique(&configuration_->routes, "routes", row, std::move(route));
  }

  void AddAccount(const std::string& team, const CheckedRow& row) {
    ClientAccount account{
        .name = row.text("name"),
        .team = team,
        .key_salt = row.text("key_salt"),
        .key_sha256 = row.text("key_sha256"),
        .requests_per_second = row.number("requests_per_second"),
        .tokens_per_second = row.number("tokens_per_second"),
        .weight = row.number("weight")};
    if (absl::StrContains(account.name, '.')) {
      Report(row, "name", "client_accounts.name", "bad-name",
             "the name contains a dot", "a name without dots");
    }
    AddUnique(&configuration_->accounts, "client_accounts", row,
              std::move(account));
  }

  void AddLengthClass(const CheckedRow& row) {
    configuration_->length_classes.push_back(
        {.name = row.text("name"),
         .up_to_tokens = row.integer("up_to_tokens"),
         .first_token_within = row.duration("first_token_within")});
  }

  /** Records a reference to a priority, to be checked by CheckReferences(). */
  void AddPriorityReference(const CheckedRow& row,
                            const std::string& priority) {
    const CheckedRow::Location location = row.location("priority");
    priority_references_.emplace_back(
        priority, Finding{.file = file_,
                          .line = location.line,
                          .column = location.column,
                          .path = "routes.priority",
                          .code = "unknown-priority",
                          .problem = "",
                          .expected = "a name from `priorities`"});
  }

  Configuration* configuration_;
  Findings* findings_;
  std::string file_;
  std::vector<std::pair<std::string, Finding>> priority_references_;
};

}  // namespace

const std::vector<SectionRule>& ConfigurationSections() {
  using Type = ValueType;
  static const auto* const kSections = new std::vector<SectionRule>{
      {"owner",
       false,
       "The owner of the file.",
       {{"team", Type::kText, "", true, "", 1, 64, "",
         "The team that publishes the file."}}},
      {"routes",
       true,
       "Routing rules, by path prefix.",
       {{"name", Type::kText, "", true, "", 1, 64, "", "Name of the route."},
        {"path", Type::kText, "", true, "", 1, 256, "",
         "Path prefix that callers use; the longest matching prefix applies."},
        {"kind", Type::kText, "", true, "", 1, 16, "model|service",
         "Kind of upstream that serves the route."},
        {"pool", Type::kText, "", true, "", 1, 64, "",
         "Upstream pool, as named in the platform's instance list."},
        {"models", Type::kTextList, "", false, "", 0, 64, "",
         "Models offered to callers; required for model routes."},
        {"repeat", Type::kText, "", false, "safe", 1, 16, "never|safe",
         "Whether a request may be executed more than once."},
        {"timeout", Type::kDuration, "s", false, "30s", 0.1, 3600, "",
         "Maximum duration of a request."},
        {"priority", Type::kText, "", false, "", 0, 64, "",
         "Name of a priority level; without one, the lowest level applies."}}},
      {"client_accounts",
       true,
       "Client accounts with their API keys and limits.",
       {{"name", Type::kText, "", true, "", 1, 64, "",
         "Name of the account; its API keys start with the name and a dot."},
        {"key_salt", Type::kText, "", true, "", 8, 128, "",
         "Random text that precedes the key in the hash."},
        {"key_sha256", Type::kText, "", true, "", 64, 64, "",
         "SHA-256 of the salt followed by the key, in hexadecimal."},
        {"requests_per_second", Type::kNumber, "1/s", false, "100", 0.01, 1e6,
         "", "Limit over all instances."},
        {"tokens_per_second", Type::kNumber, "tokens/s", false, "1000000", 1,
         1e9, "", "Limit on prompt and response tokens over all instances."},
        {"weight", Type::kNumber, "", false, "1", 0.01, 1000, "",
         "Relative share of the upstreams' capacity under contention."}}},
      {"priorities",
       true,
       "Priority levels; team `platform` only.",
       {{"name", Type::kText, "", true, "", 1, 64, "",
         "Name of the priority level."},
        {"rank", Type::kInteger, "", true, "", 0, 9, "",
         "Order of the levels; 0 is served first."}}},
      {"length_classes",
       true,
       "Classes of prompts by length; team `platform` only.",
       {{"name", Type::kText, "", true, "", 1, 32, "", "Name of the class."},
        {"up_to_tokens", Type::kInteger, "tokens", true, "", 1, 1e9, "",
         "Maximum prompt length of the class."},
        {"first_token_within", Type::kDuration, "s", true, "", 0.01, 3600, "",
         "Bound on the time to the first token."}}},
      {"retries",
       false,
       "Limits on retries; team `platform` only.",
       {{"retry_share", Type::kNumber, "", false, "0.1", 0, 1, "",
         "Number of retries allowed per first attempt."},
        {"max_attempts", Type::kInteger, "", false, "3", 1, 10, "",
         "Maximum number of attempts per request, including the first."},
        {"base_backoff", Type::kDuration, "s", false, "50ms", 0.001, 10, "",
         "First step of the exponential backoff with full jitter."},
        {"max_deaths", Type::kInteger, "", false, "3", 1, 10, "",
         "Number of upstream crashes after which a request is refused."}}},
      {"teams",
       true,
       "Teams that may publish; team `platform` only.",
       {{"name", Type::kText, "", true, "", 1, 64, "", "Name of the team."},
        {"token_salt", Type::kText, "", true, "", 8, 128, "",
         "Random text that precedes the token in the hash."},
        {"token_sha256", Type::kText, "", true, "", 64, 64, "",
         "SHA-256 of the salt followed by the token, in hexadecimal."}}},
  };
  return *kSections;
}

const Route* Configuration::RouteFor(std::string_view path) const {
  const Route* best = nullptr;
  for (const auto& [name, route] : routes) {
    if (!absl::StartsWith(ToAbslView(path), route.path))
      continue;
    const bool whole_segment = path.size() == route.path.size() ||
                               route.path.back() == '/' ||
                               path[route.path.size()] == '/';
    if (!whole_segment)
      continue;
    if (best == nullptr || route.path.size() > best->path.size())
      best = &route;
  }
  return best;
}

const Route* Configuration::RouteForModel(std::string_view model) const {
  for (const auto& [name, route] : routes) {
    if (std::count(route.models.begin(), route.models.end(), model) != 0)
      return &route;
  }
  return nullptr;
}

size_t Configuration::LengthClassIndexFor(int64_t tokens) const {
  assert(!length_classes.empty());
  for (size_t i = 0; i + 1 < length_classes.size(); ++i) {
    if (tokens <= length_classes[i].up_to_tokens)
      return i;
  }
  return length_classes.size() - 1;
}

int Configuration::PriorityRankFor(const std::string& priority) const {
  auto found = priorities.find(priority);
  if (found != priorities.end())
    return found->second.rank;
  int lowest = 0;
  for (const auto& [name, level] : priorities)
    lowest = std::max(lowest, level.rank);
  return lowest;
}

Configuration ConfigurationReader::Read(
    const std::map<std::string, std::vector<SourceFile>>& files_by_team,
    Findings* findings) {
  Configuration configuration;
  ConfigurationMerger file_merger(&configuration, findings);
  for (const auto& [team, files] : files_by_team) {
    for (const SourceFile& file : files)
      file_merger.AddFile(team, file);
  }
  file_merger.CheckReferences();
  std::vector<LengthClass>& classes = configuration.length_classes;
  if (classes.empty()) {
    classes.push_back({.name = "any",
                       .up_to_tokens = std::numeric_limits<int64_t>::max(),
                       .first_token_within = absl::Seconds(30)});
  }
  std::sort(classes.begin(), classes.end(),
            [](const LengthClass& a, const LengthClass& b) {
              return a.up_to_tokens < b.up_to_tokens;
            });
  return configuration;
}

std::string ConfigurationReader::TeamOf(const SourceFile& file,
                                        Findings* findings) {
  // Other findings are only reported here if the team is missing; otherwise
  // they are reported when the file is read in full.
  Findings file_findings;
  const CheckedFile checked = SchemaChecker::Check(
      file.name, file.text, ConfigurationSections(), &file_findings);
  auto owner = checked.sections.find("owner");
  if (owner != checked.sections.end() && !owner->second.empty())
    return owner->second.front().text("team");
  findings->Add({.file = file.name,
                 .line = 1,
                 .column = 1,
                 .path = "owner.team",
                 .code = "missing-key",
                 .problem = "the file does not name its team",
                 .expected = "owner: {team: NAME}"});
  for (const Finding& finding : file_findings.Sorted())
    findings->Add(finding);
  return "";
}

}  // namespace chicory
