#ifndef MODULES_CONFIG_CONFIGURATION_H_
#define MODULES_CONFIG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "modules/config/schema.h"
#include "modules/core/findings.h"

namespace chicory {

/** What stands behind a route. */
enum class RouteKind { kModel, kService };

/** Whether a call may run more than once. */
enum class RepeatRule { kNever, kSafe };

/** Where calls of one path go and how they are treated. */
struct Route {
  std::string name;
  std::string team;
  /** Path prefix towards callers, such as `/desk/bookings`. */
  std::string path;
  RouteKind kind = RouteKind::kModel;
  /** The pool of upstreams that serves the route. */
  std::string pool;
  /** Models that the route offers; empty for a plain service. */
  std::vector<std::string> models;
  RepeatRule repeat = RepeatRule::kSafe;
  /** The longest time a request may take. */
  absl::Duration timeout;
  std::string priority;
};

/** A customer with its key and its limits. */
struct ClientAccount {
  std::string name;
  std::string team;
  std::string key_salt;
  /** SHA-256 of salt and key, in hexadecimal. */
  std::string key_sha256;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  /** Share of a contended fleet, relative to other accounts. */
  double weight = 1;
};

/** A named rank; rank 0 goes first. */
struct PriorityLevel {
  std::string name;
  int rank = 0;
};

/** Prompts up to a length, with their bound on time to first token. */
struct LengthClass {
  std::string name;
  int64_t up_to_tokens = 0;
  absl::Duration first_token_within;
};

/** The rules for retries and for requests that crash upstreams. */
struct RetryRules {
  /** Retries as a share of first tries. */
  double retry_share = 0.1;
  int max_attempts = 3;
  absl::Duration base_backoff = absl::Milliseconds(50);
  /** Upstream deaths after which a request's fingerprint is refused. */
  int max_deaths = 3;
};

/** A team of the platform, allowed to publish its own routes and accounts. */
struct Team {
  std::string name;
  std::string token_salt;
  std::string token_sha256;
};

/** Everything that operators publish, merged over all teams. Immutable once
    in force; shared by const pointer. @see ConfigurationReader */
struct Configuration {
  /** Grows by one with every accepted change; 0 means none is known. */
  uint64_t revision = 0;
  std::map<std::string, Route> routes;
  std::map<std::string, ClientAccount> accounts;
  std::map<std::string, PriorityLevel> priorities;
  /** Sorted by length. */
  std::vector<LengthClass> length_classes;
  RetryRules retries;
  std::map<std::string, Team> teams;

  /** The route whose path is the longest prefix of `path`; null if none. */
  const Route* RouteFor(std::string_view path) const;

  /** The model route that offers `model`; null if none. */
  const Route* RouteForModel(std::string_view model) const;

  /** Index of the class that a prompt of `tokens` belongs to. There is at
      least one class, and the last has no upper bound. */
  size_t LengthClassIndexFor(int64_t tokens) const;

  /** Rank of a named priority; the lowest rank for an unknown one. */
  int PriorityRankFor(const std::string& priority) const;
};

/** The team that alone may publish teams, priorities, classes and retries. */
inline constexpr char kPlatformTeam[] = "platform";

/** The sections of a published file. */
const std::vector<SectionRule>& ConfigurationSections();

/** One source file of a team. */
struct SourceFile {
  std::string name;
  std::string text;
};

/** Reads the files of all teams into one configuration and checks what no
    single file shows: names used twice, references to nothing, rights. */
class ConfigurationReader {
 public:
  /** Reads all files; the result is usable only if `findings` stays empty. */
  static Configuration Read(
      const std::map<std::string, std::vector<SourceFile>>& files_by_team,
      Findings* findings);

  /** The team that a file names; empty with a finding when it names none. */
  static std::string TeamOf(const SourceFile& file, Findings* findings);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_CONFIGURATION_H_
