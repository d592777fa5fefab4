#include "stand_ins/scenario.h"

#include <algorithm>
#include <functional>
#include <regex>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/time/time.h"
#include "stand_ins/traffic.h"
#include "stand_ins/virtual_fleet.h"

namespace chicory {

namespace {

using Captures = std::smatch;

/** Allowance for messages in transit when a call must end within its time. */
constexpr absl::Duration kCompletionMargin = absl::Milliseconds(100);

int64_t ToInteger(const std::string& text) {
  int64_t value = 0;
  (void)absl::SimpleAtoi(text, &value);
  return value;
}

double ToDouble(const std::string& text) {
  double value = 0;
  (void)absl::SimpleAtod(text, &value);
  return value;
}

absl::Duration ToDuration(const std::string& text) {
  absl::Duration value;
  (void)absl::ParseDuration(text, &value);
  return value;
}

absl::Time ToTime(const std::string& text) {
  return absl::UnixEpoch() + ToDuration(text);
}

/** One statement of the scenario language. `apply` receives the captures of
    `pattern`, which must match the whole line. */
template <class Target>
struct Statement {
  const char* pattern;
  std::function<void(const Captures&, Target*)> apply;
};

/** The fleet, traffic, calls and faults that a scenario describes. */
struct ParsedScenario {
  VirtualFleet::Options fleet;
  uint64_t first_seed = 1;
  uint64_t last_seed = 1;
  std::vector<TrafficMix> traffic;
  std::vector<VirtualCall> calls;
  std::vector<std::pair<absl::Time, std::function<void(VirtualFleet*)>>> events;
  absl::Time end = absl::UnixEpoch() + absl::Seconds(60);
};

/** The check of one expectation against a finished run; the expectation sets
    `problem` when it fails. */
struct Evaluation {
  const VirtualFleet& fleet;
  std::string problem;
};

void AddEvent(ParsedScenario* scenario,
              const std::string& at,
              std::function<void(VirtualFleet*)> action) {
  scenario->events.emplace_back(ToTime(at), std::move(action));
}

const std::vector<Statement<ParsedScenario>>& SetupStatements() {
  static const std::vector<Statement<ParsedScenario>> kStatements = {
      {R"(fleet of (\d+) entries and (\d+) engines)",
       [](const Captures& captures, ParsedScenario* scenario) {
         scenario->fleet.entries = static_cast<int>(ToInteger(captures[1]));
         scenario->fleet.engines = static_cast<int>(ToInteger(captures[2]));
       }},
      {R"(seeds (\d+) to (\d+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         scenario->first_seed = static_cast<uint64_t>(ToInteger(captures[1]));
         scenario->last_seed = static_cast<uint64_t>(ToInteger(captures[2]));
       }},
      {R"(engines hold (\d+) tokens)",
       [](const Captures& captures, ParsedScenario* scenario) {
         scenario->fleet.engine.memory_tokens = ToInteger(captures[1]);
       }},
      {R"(callers send again (\d+) times after (\S+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         scenario->fleet.max_client_retries =
             static_cast<int>(ToInteger(captures[1]));
         scenario->fleet.client_retry_delay = ToDuration(captures[2]);
       }},
      {R"((mixed )?traffic of ([\d.]+) calls a second from (\S+) to (\S+)(?:, (\d+) to (\d+) tokens)?(?:, answers of (\d+) to (\d+))?(?:, waiting (\S+))?)",
       [](const Captures& captures, ParsedScenario* scenario) {
         TrafficMix mix;
         mix.is_mixed = captures[1].matched;
         mix.rate = ToDouble(captures[2]);
         mix.start = ToTime(captures[3]);
         mix.length = ToTime(captures[4]) - mix.start;
         if (captures[5].matched) {
           mix.min_prompt_tokens = ToInteger(captures[5]);
           mix.max_prompt_tokens = ToInteger(captures[6]);
         }
         if (captures[7].matched) {
           mix.min_response_tokens = ToInteger(captures[7]);
           mix.max_response_tokens = ToInteger(captures[8]);
         }
         if (captures[9].matched)
           mix.timeout = ToDuration(captures[9]);
         scenario->traffic.push_back(mix);
       }},
      {R"(call of (\d+) tokens at (\S+)(?:, waiting (\S+))?)",
       [](const Captures& captures, ParsedScenario* scenario) {
         VirtualCall call;
         call.prompt_tokens = ToInteger(captures[1]);
         call.estimated_tokens = call.prompt_tokens;
         call.at = ToTime(captures[2]);
         call.fingerprint = 1000 + scenario->calls.size();
         if (captures[3].matched)
           call.timeout = ToDuration(captures[3]);
         scenario->calls.push_back(call);
       }},
      {R"((\d+) crashing calls of one kind, one every (\S+) from (\S+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         for (int64_t i = 0; i < ToInteger(captures[1]); ++i) {
           VirtualCall call;
           call.at = ToTime(captures[3]) + i * ToDuration(captures[2]);
           call.crashes = true;
           call.fingerprint = 666;
           scenario->calls.push_back(call);
         }
       }},
      {R"(at (\S+) kill engine (\d+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         AddEvent(scenario, captures[1],
                  [=](VirtualFleet* fleet) { fleet->KillEngine(number); });
       }},
      {R"(at (\S+) restart engine (\d+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         AddEvent(scenario, captures[1],
                  [=](VirtualFleet* fleet) { fleet->RestartEngine(number); });
       }},
      {R"(at (\S+) freeze engine (\d+) for (\S+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         const absl::Duration length = ToDuration(captures[3]);
         AddEvent(scenario, captures[1], [=](VirtualFleet* fleet) {
           fleet->FreezeEngine(number, length);
         });
       }},
      {R"(at (\S+) engine (\d+) leaves)",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         AddEvent(scenario, captures[1], [=](VirtualFleet* fleet) {
           fleet->MarkEngineLeaving(number);
         });
       }},
      {R"(at (\S+) kill entry (\d+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         AddEvent(scenario, captures[1],
                  [=](VirtualFleet* fleet) { fleet->KillEntry(number); });
       }},
      {R"(at (\S+) restart entry (\d+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         AddEvent(scenario, captures[1],
                  [=](VirtualFleet* fleet) { fleet->RestartEntry(number); });
       }},
      {R"(at (\S+) freeze entry (\d+) for (\S+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         const int number = static_cast<int>(ToInteger(captures[2]));
         const absl::Duration length = ToDuration(captures[3]);
         AddEvent(scenario, captures[1], [=](VirtualFleet* fleet) {
           fleet->FreezeEntry(number, length);
         });
       }},
      {R"(run until (\S+))",
       [](const Captures& captures, ParsedScenario* scenario) {
         scenario->end = ToTime(captures[1]);
       }},
  };
  return kStatements;
}

/** Returns the fraction of calls that satisfy `is_counted`; 1 when there are no
    calls. */
template <class Predicate>
double FractionOfCalls(const VirtualFleet& fleet, Predicate&& is_counted) {
  int64_t counted = 0;
  for (const CallRecord& record : fleet.records())
    counted += is_counted(record) ? 1 : 0;
  return fleet.records().empty()
             ? 1
             : static_cast<double>(counted) / fleet.records().size();
}

/** Fails the expectation if any call satisfies `is_violation`. The problem
    gives their number and describes the first. */
template <class Predicate>
void FailOnAnyCall(Evaluation* evaluation,
                   const char* description,
                   Predicate&& is_violation) {
  int64_t violations = 0;
  size_t first = 0;
  for (size_t i = 0; i < evaluation->fleet.records().size(); ++i) {
    if (!is_violation(evaluation->fleet.records()[i]))
      continue;
    if (violations++ == 0)
      first = i;
  }
  if (violations == 0)
    return;
  evaluation->problem = absl::StrCat(
      violations, " of ", evaluation->fleet.records().size(), " calls ",
      description, "; the first was submitted at ",
      absl::FormatDuration(evaluation->fleet.records()[first].call.at -
                           absl::UnixEpoch()),
      " with ", evaluation->fleet.records()[first].call.prompt_tokens,
      " tokens: ",
      RefusalReasonName(evaluation->fleet.records()[first].refusal.reason));
}

void ExpectFirstTokens(const Captures& captures, Evaluation* evaluation) {
  const double share = ToDouble(captures[1]) / 100;
  const std::string name = captures[2];
  const absl::Duration bound = ToDuration(captures[3]);
  const auto& classes = evaluation->fleet.options().length_classes;
  std::vector<absl::Duration> times;
  for (const CallRecord& record : evaluation->fleet.records()) {
    if (name == "all" || classes[record.length_class].name == name)
      times.push_back(record.first_token);
  }
  if (times.empty()) {
    evaluation->problem = "no calls in that length class";
    return;
  }
  std::sort(times.begin(), times.end());
  const size_t index =
      std::min(times.size() - 1, static_cast<size_t>(share * times.size()));
  if (times[index] > bound)
    evaluation->problem =
        absl::StrCat("observed ", absl::FormatDuration(times[index]));
}

const std::vector<Statement<Evaluation>>& ExpectationStatements() {
  using End = CallRecord::End;
  static const std::vector<Statement<Evaluation>> kStatements = {
      {R"(expect every call to end within its time)",
       [](const Captures&, Evaluation* evaluation) {
         FailOnAnyCall(
             evaluation, "ended late or did not end",
             [&](const CallRecord& record) {
               const int submissions = std::max(1, record.submissions);
               return record.end == End::kPending ||
                      (submissions == 1 &&
                       record.ended > record.call.timeout + kCompletionMargin);
             });
       }},
      {R"(expect every call to complete)",
       [](const Captures&, Evaluation* evaluation) {
         FailOnAnyCall(evaluation, "did not complete",
                       [](const CallRecord& record) {
                         return record.end != End::kCompleted;
                       });
       }},
      {R"(expect at least ([\d.]+)% of calls to complete)",
       [](const Captures& captures, Evaluation* evaluation) {
         const double share =
             FractionOfCalls(evaluation->fleet, [](const CallRecord& record) {
               return record.end == End::kCompleted;
             });
         if (share * 100 < ToDouble(captures[1]))
           evaluation->problem = absl::StrCat(share * 100, "% completed");
       }},
      {R"(expect every completed answer to be whole)",
       [](const Captures&, Evaluation* evaluation) {
         FailOnAnyCall(
             evaluation, "completed with an unexpected number of tokens",
             [](const CallRecord& record) {
               return record.end == End::kCompleted &&
                      record.delivered != std::min(record.call.response_tokens,
                                                   record.call.max_tokens);
             });
       }},
      {R"(expect no call that ran to be called not run)",
       [](const Captures&, Evaluation* evaluation) {
         FailOnAnyCall(evaluation, "ran but were reported as not run",
                       [](const CallRecord& record) {
                         return record.end != End::kCompleted &&
                                record.submissions == 1 &&
                                record.refusal.run_state == RunState::kNotRun &&
                                record.has_run;
                       });
       }},
      {R"(expect no engine memory held)",
       [](const Captures&, Evaluation* evaluation) {
         if (evaluation->fleet.reserved_memory() != 0)
           evaluation->problem =
               absl::StrCat(evaluation->fleet.reserved_memory(),
                            " tokens are still reserved");
       }},
      {R"(expect no live owner's work taken)",
       [](const Captures&, Evaluation* evaluation) {
         if (evaluation->fleet.live_owner_cancellations() != 0)
           evaluation->problem =
               absl::StrCat(evaluation->fleet.live_owner_cancellations(),
                            " attempts of live owners were cancelled");
       }},
      {R"(expect at most (\d+) engines lost to crashing calls)",
       [](const Captures& captures, Evaluation* evaluation) {
         if (evaluation->fleet.crashes() > ToInteger(captures[1]))
           evaluation->problem =
               absl::StrCat(evaluation->fleet.crashes(), " engines were lost");
       }},
      {R"(expect no new work for a leaving engine after (\S+))",
       [](const Captures& captures, Evaluation* evaluation) {
         if (evaluation->fleet.last_attempt_on_leaving_engine() >
             ToTime(captures[1])) {
           evaluation->problem = absl::StrCat(
               "the last attempt was started at ",
               absl::FormatDuration(
                   evaluation->fleet.last_attempt_on_leaving_engine() -
                   absl::UnixEpoch()));
         }
       }},
      {R"(expect ([\d.]+)% of (\S+) first tokens within (\S+))",
       ExpectFirstTokens},
      {R"(expect at most ([\d.]+) attempts a call)",
       [](const Captures& captures, Evaluation* evaluation) {
         const double attempts =
             static_cast<double>(evaluation->fleet.attempts()) /
             std::max<size_t>(1, evaluation->fleet.records().size());
         if (attempts > ToDouble(captures[1]))
           evaluation->problem = absl::StrCat("observed ", attempts);
       }},
  };
  return kStatements;
}

/** Returns the statement that matches `line` and sets its captures; null when
    none does. */
template <class Target>
const Statement<Target>* FindStatement(
    const std::vector<Statement<Target>>& statements,
    const std::string& line,
    Captures* captures) {
  for (const Statement<Target>& statement : statements) {
    if (std::regex_match(line, *captures, std::regex(statement.pattern)))
      return &statement;
  }
  return nullptr;
}

struct ScenarioLine {
  int number = 0;
  std::string text;
};

std::vector<ScenarioLine> ParseLines(std::string_view text) {
  std::vector<ScenarioLine> lines;
  int number = 0;
  for (absl::string_view line :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
    ++number;
    line = absl::StripAsciiWhitespace(line);
    if (!line.empty() && line[0] != '#')
      lines.push_back({number, std::string(line)});
  }
  return lines;
}

}  // namespace

ScenarioResult RunScenario(std::string_view name, std::string_view text) {
  ScenarioResult result;
  ParsedScenario scenario;
  std::vector<std::pair<ScenarioLine, const Statement<Evaluation>*>>
      expectations;
  auto location = [&](const ScenarioLine& line) {
    return absl::StrCat(std::string(name), ":", line.number, ": ");
  };
  for (const ScenarioLine& line : ParseLines(text)) {
    Captures captures;
    if (const auto* setting =
            FindStatement(SetupStatements(), line.text, &captures)) {
      setting->apply(captures, &scenario);
      continue;
    }
    if (const auto* expectation =
            FindStatement(ExpectationStatements(), line.text, &captures)) {
      expectations.emplace_back(line, expectation);
      continue;
    }
    result.failures.push_back(
        absl::StrCat(location(line), "unknown statement: ", line.text));
  }
  if (expectations.empty())
    result.failures.push_back(
        absl::StrCat(std::string(name), ": the scenario has no expectations"));
  if (!result.failures.empty())
    return result;
  for (uint64_t seed = scenario.first_seed; seed <= scenario.last_seed;
       ++seed) {
    VirtualFleet::Options options = scenario.fleet;
    options.seed = seed;
    VirtualFleet fleet(std::move(options));
    uint64_t stream = 0;
    for (const TrafficMix& mix : scenario.traffic) {
      for (const VirtualCall& call : MakeTraffic(mix, seed * 1000 + stream++))
        fleet.AddCall(call);
    }
    for (const VirtualCall& call : scenario.calls)
      fleet.AddCall(call);
    for (const auto& event : scenario.events) {
      const auto& action = event.second;
      fleet.ScheduleAt(event.first, [&fleet, &action] { action(&fleet); });
    }
    fleet.RunUntil(scenario.end);
    ++result.runs;
    result.calls += static_cast<int64_t>(fleet.records().size());
    for (const auto& [line, statement] : expectations) {
      Evaluation evaluation{.fleet = fleet};
      Captures captures;
      std::regex_match(line.text, captures, std::regex(statement->pattern));
      statement->apply(captures, &evaluation);
      ++result.checks;
      if (!evaluation.problem.empty()) {
        result.failures.push_back(absl::StrCat(location(line), "seed ", seed,
                                               ": ", line.text, ": ",
                                               evaluation.problem));
      }
    }
  }
  return result;
}

}  // namespace chicory
