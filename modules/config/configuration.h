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

/** The kind of upstream that serves a route: an LLM inference engine, or any
    other HTTP service. */
enum class RouteKind { kModel, kService };

/** Whether a request may be executed more than once. */
enum class RepeatRule { kNever, kSafe };

/** Routing rules for the requests whose path starts with a given prefix. */
struct Route {
  std::string name;
  /** The team that owns the route. */
  std::string team;
  /** Path prefix that callers use, such as `/desk/bookings`. */
  std::string path;
  RouteKind kind = RouteKind::kModel;
  /** The upstream pool that serves the route. */
  std::string pool;
  /** The models that the route offers; empty for a service route. */
  std::vector<std::string> models;
  RepeatRule repeat = RepeatRule::kSafe;
  /** Maximum duration of a request. */
  absl::Duration timeout;
  /** Name of a priority level; empty for the lowest. */
  std::string priority;
};

/** A client account with its API key and rate limits. */
struct ClientAccount {
  std::string name;
  /** The team that owns the account. */
  std::string team;
  /** Random text that precedes the key in the hash. */
  std::string key_salt;
  /** SHA-256 of the salt followed by the key, in hexadecimal. */
  std::string key_sha256;
  /** Limit over all instances. */
  double requests_per_second = 0;
  /** Limit on prompt and response tokens over all instances. */
  double tokens_per_second = 0;
  /** Relative share of the upstreams' capacity under contention. */
  double weight = 1;
};

/** A named priority level. */
struct PriorityLevel {
  std::string name;
  /** 0 is served first. */
  int rank = 0;
};

/** A class of prompts by length, with its bound on the time to first token. */
struct LengthClass {
  std::string name;
  /** Maximum prompt length of the class, in tokens. */
  int64_t up_to_tokens = 0;
  absl::Duration first_token_within;
};

/** Limits on retries, and on requests that crash upstreams. */
struct RetryRules {
  /** Number of retries allowed per first attempt. */
  double retry_share = 0.1;
  /** Maximum number of attempts per request, including the first. */
  int max_attempts = 3;
  /** First step of the exponential backoff with full jitter. */
  absl::Duration base_backoff = absl::Milliseconds(50);
  /** Number of upstream crashes charged to a request fingerprint after which
      such requests are refused. */
  int max_deaths = 3;
};

/** A team that may publish routes and client accounts of its own. */
struct Team {
  std::string name;
  /** Random text that precedes the token in the hash. */
  std::string token_salt;
  /** SHA-256 of the salt followed by the token, in hexadecimal. */
  std::string token_sha256;
};

/** The published configuration, merged over all teams.

    Immutable once it is in force, and therefore shared between threads by
    pointer to const. @see ConfigurationReader */
struct Configuration {
  /** Increases by one with every accepted change; 0 if no configuration is
      known. */
  uint64_t revision = 0;
  std::map<std::string, Route> routes;
  std::map<std::string, ClientAccount> accounts;
  std::map<std::string, PriorityLevel> priorities;
  /** Sorted by maximum length. */
  std::vector<LengthClass> length_classes;
  RetryRules retries;
  std::map<std::string, Team> teams;

  /** Returns the route with the longest path that is a prefix of `path` in
      whole segments, or null if there is none. */
  const Route* RouteFor(std::string_view path) const;

  /** Returns the route that offers `model`, or null if there is none. */
  const Route* RouteForModel(std::string_view model) const;

  /** Returns the index in `length_classes` of the class of a prompt with
      `tokens` tokens. There must be at least one class; the last one also takes
      all longer prompts. */
  size_t LengthClassIndexFor(int64_t tokens) const;

  /** Returns the rank of a priority level. An unknown name has the rank of the
      level that is served last. */
  int PriorityRankFor(const std::string& priority) const;
};

/** The only team that may publish teams, priorities, length classes and retry
    rules. */
inline constexpr char kPlatformTeam[] = "platform";

/** Returns the schema of published configuration files. */
const std::vector<SectionRule>& ConfigurationSections();

/** A configuration file of a team, as it was written. */
struct SourceFile {
  std::string name;
  std::string text;
};

/** Merges the files of all teams into one configuration.

    Besides the schema, it checks what concerns more than one file: duplicate
    names, paths and models, references to undefined priorities, and whether a
    team may publish a section. Stateless; may be used on any thread. */
class ConfigurationReader {
 public:
  /** Reads all files. The result must not be used if there are findings. */
  static Configuration Read(
      const std::map<std::string, std::vector<SourceFile>>& files_by_team,
      Findings* findings);

  /** Returns the team that a file names as its owner. If it names none, returns
      an empty string and reports the findings of the file. */
  static std::string TeamOf(const SourceFile& file, Findings* findings);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_CONFIGURATION_H_
