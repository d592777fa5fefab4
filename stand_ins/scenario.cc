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

using Words = std::smatch;

/** What callers may be late by after their time, for messages under way. */
constexpr absl::Duration kEndMargin = absl::Milliseconds(100);

int64_t Whole(const std::string& text) {
  int64_t value = 0;
  (void)absl::SimpleAtoi(text, &value);
  return value;
}

double Number(const std::string& text) {
  double value = 0;
  (void)absl::SimpleAtod(text, &value);
  return value;
}

absl::Duration Length(const std::string& text) {
  absl::Duration value;
  (void)absl::ParseDuration(text, &value);
  return value;
}

absl::Time Moment(const std::string& text) {
  return absl::UnixEpoch() + Length(text);
}

/** One sentence of the language: its form and what it does. */
template <class Target>
struct Sentence {
  const char* form;
  std::function<void(const Words&, Target*)> act;
};

/** A scenario as written, before it runs. */
struct Script {
  VirtualFleet::Options fleet;
  uint64_t first_seed = 1;
  uint64_t last_seed = 1;
  std::vector<TrafficMix> traffic;
  std::vector<VirtualCall> calls;
  std::vector<std::pair<absl::Time, std::function<void(VirtualFleet*)>>> events;
  absl::Time end = absl::UnixEpoch() + absl::Seconds(60);
};

/** A run to be judged; an expectation fills in `problem` when it fails. */
struct Judged {
  const VirtualFleet& fleet;
  std::string problem;
};

void AddEvent(Script* script,
              const std::string& at,
              std::function<void(VirtualFleet*)> action) {
  script->events.emplace_back(Moment(at), std::move(action));
}

const std::vector<Sentence<Script>>& Settings() {
  static const std::vector<Sentence<Script>> kSentences = {
      {R"(fleet of (\d+) entries and (\d+) engines)",
       [](const Words& words, Script* script) {
         script->fleet.entries = static_cast<int>(Whole(words[1]));
         script->fleet.engines = static_cast<int>(Whole(words[2]));
       }},
      {R"(seeds (\d+) to (\d+))",
       [](const Words& words, Script* script) {
         script->first_seed = static_cast<uint64_t>(Whole(words[1]));
         script->last_seed = static_cast<uint64_t>(Whole(words[2]));
       }},
      {R"(engines hold (\d+) tokens)",
       [](const Words& words, Script* script) {
         script->fleet.engine.memory_tokens = Whole(words[1]);
       }},
      {R"(callers send again (\d+) times after (\S+))",
       [](const Words& words, Script* script) {
         script->fleet.max_client_retries = static_cast<int>(Whole(words[1]));
         script->fleet.resend_pause = Length(words[2]);
       }},
      {R"((mixed )?traffic of ([\d.]+) calls a second from (\S+) to (\S+)(?:, (\d+) to (\d+) tokens)?(?:, answers of (\d+) to (\d+))?(?:, waiting (\S+))?)",
       [](const Words& words, Script* script) {
         TrafficMix mix;
         mix.is_mixed = words[1].matched;
         mix.rate = Number(words[2]);
         mix.start = Moment(words[3]);
         mix.length = Moment(words[4]) - mix.start;
         if (words[5].matched) {
           mix.min_prompt_tokens = Whole(words[5]);
           mix.max_prompt_tokens = Whole(words[6]);
         }
         if (words[7].matched) {
           mix.least_answer = Whole(words[7]);
           mix.most_answer = Whole(words[8]);
         }
         if (words[9].matched)
           mix.timeout = Length(words[9]);
         script->traffic.push_back(mix);
       }},
      {R"(call of (\d+) tokens at (\S+)(?:, waiting (\S+))?)",
       [](const Words& words, Script* script) {
         VirtualCall call;
         call.prompt_tokens = Whole(words[1]);
         call.estimated_tokens = call.prompt_tokens;
         call.at = Moment(words[2]);
         call.fingerprint = 1000 + script->calls.size();
         if (words[3].matched)
           call.timeout = Length(words[3]);
         script->calls.push_back(call);
       }},
      {R"((\d+) crashing calls of one kind, one every (\S+) from (\S+))",
       [](const Words& words, Script* script) {
         for (int64_t i = 0; i < Whole(words[1]); ++i) {
           VirtualCall call;
           call.at = Moment(words[3]) + i * Length(words[2]);
           call.crashes = true;
           call.fingerprint = 666;
           script->calls.push_back(call);
         }
       }},
      {R"(at (\S+) kill engine (\d+))",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         AddEvent(script, words[1],
                  [=](VirtualFleet* fleet) { fleet->KillEngine(number); });
       }},
      {R"(at (\S+) restart engine (\d+))",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         AddEvent(script, words[1],
                  [=](VirtualFleet* fleet) { fleet->RestartEngine(number); });
       }},
      {R"(at (\S+) freeze engine (\d+) for (\S+))",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         const absl::Duration length = Length(words[3]);
         AddEvent(script, words[1], [=](VirtualFleet* fleet) {
           fleet->FreezeEngine(number, length);
         });
       }},
      {R"(at (\S+) engine (\d+) leaves)",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         AddEvent(script, words[1],
                  [=](VirtualFleet* fleet) { fleet->LeaveEngine(number); });
       }},
      {R"(at (\S+) kill entry (\d+))",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         AddEvent(script, words[1],
                  [=](VirtualFleet* fleet) { fleet->KillEntry(number); });
       }},
      {R"(at (\S+) restart entry (\d+))",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         AddEvent(script, words[1],
                  [=](VirtualFleet* fleet) { fleet->RestartEntry(number); });
       }},
      {R"(at (\S+) freeze entry (\d+) for (\S+))",
       [](const Words& words, Script* script) {
         const int number = static_cast<int>(Whole(words[2]));
         const absl::Duration length = Length(words[3]);
         AddEvent(script, words[1], [=](VirtualFleet* fleet) {
           fleet->FreezeEntry(number, length);
         });
       }},
      {R"(run until (\S+))",
       [](const Words& words, Script* script) {
         script->end = Moment(words[1]);
       }},
  };
  return kSentences;
}

/** Share of the calls that `is_good` holds for. */
template <class Predicate>
double ShareOf(const VirtualFleet& fleet, Predicate&& is_good) {
  int64_t good = 0;
  for (const CallRecord& record : fleet.records())
    good += is_good(record) ? 1 : 0;
  return fleet.records().empty()
             ? 1
             : static_cast<double>(good) / fleet.records().size();
}

/** Sets the problem to the first call that `is_bad` holds for. */
template <class Predicate>
void ForbidCalls(Judged* judged, const char* what, Predicate&& is_bad) {
  int64_t bad = 0;
  size_t first = 0;
  for (size_t i = 0; i < judged->fleet.records().size(); ++i) {
    if (!is_bad(judged->fleet.records()[i]))
      continue;
    if (bad++ == 0)
      first = i;
  }
  if (bad == 0)
    return;
  judged->problem = absl::StrCat(
      bad, " of ", judged->fleet.records().size(), " calls ", what,
      "; the first came at ",
      absl::FormatDuration(judged->fleet.records()[first].call.at -
                           absl::UnixEpoch()),
      " with ", judged->fleet.records()[first].call.prompt_tokens, " tokens: ",
      RefusalReasonName(judged->fleet.records()[first].refusal.reason));
}

void ExpectFirstTokens(const Words& words, Judged* judged) {
  const double share = Number(words[1]) / 100;
  const std::string name = words[2];
  const absl::Duration bound = Length(words[3]);
  const auto& classes = judged->fleet.options().length_classes;
  std::vector<absl::Duration> times;
  for (const CallRecord& record : judged->fleet.records()) {
    if (name == "all" || classes[record.length_class].name == name)
      times.push_back(record.first_token);
  }
  if (times.empty()) {
    judged->problem = "no call of that class";
    return;
  }
  std::sort(times.begin(), times.end());
  const size_t index =
      std::min(times.size() - 1, static_cast<size_t>(share * times.size()));
  if (times[index] > bound)
    judged->problem =
        absl::StrCat("it was ", absl::FormatDuration(times[index]));
}

const std::vector<Sentence<Judged>>& Expectations() {
  using End = CallRecord::End;
  static const std::vector<Sentence<Judged>> kSentences = {
      {R"(expect every call to end within its time)",
       [](const Words&, Judged* judged) {
         ForbidCalls(judged, "were late or never ended",
                     [&](const CallRecord& record) {
                       const int submissions = std::max(1, record.submissions);
                       return record.end == End::kPending ||
                              (submissions == 1 &&
                               record.ended > record.call.timeout + kEndMargin);
                     });
       }},
      {R"(expect every call to complete)",
       [](const Words&, Judged* judged) {
         ForbidCalls(judged, "did not complete", [](const CallRecord& record) {
           return record.end != End::kCompleted;
         });
       }},
      {R"(expect at least ([\d.]+)% of calls to complete)",
       [](const Words& words, Judged* judged) {
         const double share =
             ShareOf(judged->fleet, [](const CallRecord& record) {
               return record.end == End::kCompleted;
             });
         if (share * 100 < Number(words[1]))
           judged->problem = absl::StrCat(share * 100, "% completed");
       }},
      {R"(expect every completed answer to be whole)",
       [](const Words&, Judged* judged) {
         ForbidCalls(judged, "completed with another number of tokens",
                     [](const CallRecord& record) {
                       return record.end == End::kCompleted &&
                              record.delivered !=
                                  std::min(record.call.answer_tokens,
                                           record.call.max_tokens);
                     });
       }},
      {R"(expect no call that ran to be called not run)",
       [](const Words&, Judged* judged) {
         ForbidCalls(judged, "ran and were called not run",
                     [](const CallRecord& record) {
                       return record.end != End::kCompleted &&
                              record.submissions == 1 &&
                              record.refusal.run_state == RunState::kNotRun &&
                              record.has_run;
                     });
       }},
      {R"(expect no engine memory held)",
       [](const Words&, Judged* judged) {
         if (judged->fleet.held_memory() != 0)
           judged->problem =
               absl::StrCat(judged->fleet.held_memory(), " tokens are held");
       }},
      {R"(expect no live owner's work taken)",
       [](const Words&, Judged* judged) {
         if (judged->fleet.wrong_cancels() != 0)
           judged->problem =
               absl::StrCat(judged->fleet.wrong_cancels(), " were cancelled");
       }},
      {R"(expect at most (\d+) engines lost to crashing calls)",
       [](const Words& words, Judged* judged) {
         if (judged->fleet.crashes() > Whole(words[1]))
           judged->problem =
               absl::StrCat(judged->fleet.crashes(), " were lost");
       }},
      {R"(expect no new work for a leaving engine after (\S+))",
       [](const Words& words, Judged* judged) {
         if (judged->fleet.last_start_on_leaving() > Moment(words[1])) {
           judged->problem = absl::StrCat(
               "work came at ",
               absl::FormatDuration(judged->fleet.last_start_on_leaving() -
                                    absl::UnixEpoch()));
         }
       }},
      {R"(expect ([\d.]+)% of (\S+) first tokens within (\S+))",
       ExpectFirstTokens},
      {R"(expect at most ([\d.]+) attempts a call)",
       [](const Words& words, Judged* judged) {
         const double attempts =
             static_cast<double>(judged->fleet.attempts()) /
             std::max<size_t>(1, judged->fleet.records().size());
         if (attempts > Number(words[1]))
           judged->problem = absl::StrCat("there were ", attempts);
       }},
  };
  return kSentences;
}

/** The sentence that a line is, and its words; null when it is none. */
template <class Target>
const Sentence<Target>* Match(const std::vector<Sentence<Target>>& sentences,
                              const std::string& line,
                              Words* words) {
  for (const Sentence<Target>& sentence : sentences) {
    if (std::regex_match(line, *words, std::regex(sentence.form)))
      return &sentence;
  }
  return nullptr;
}

struct Line {
  int number = 0;
  std::string text;
};

std::vector<Line> LinesOf(std::string_view text) {
  std::vector<Line> lines;
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
  Script script;
  std::vector<std::pair<Line, const Sentence<Judged>*>> expectations;
  auto place = [&](const Line& line) {
    return absl::StrCat(std::string(name), ":", line.number, ": ");
  };
  for (const Line& line : LinesOf(text)) {
    Words words;
    if (const auto* setting = Match(Settings(), line.text, &words)) {
      setting->act(words, &script);
      continue;
    }
    if (const auto* expectation = Match(Expectations(), line.text, &words)) {
      expectations.emplace_back(line, expectation);
      continue;
    }
    result.failures.push_back(
        absl::StrCat(place(line), "not understood: ", line.text));
  }
  if (expectations.empty())
    result.failures.push_back(
        absl::StrCat(std::string(name), ": no line expects anything"));
  if (!result.failures.empty())
    return result;
  for (uint64_t seed = script.first_seed; seed <= script.last_seed; ++seed) {
    VirtualFleet::Options options = script.fleet;
    options.seed = seed;
    VirtualFleet fleet(std::move(options));
    uint64_t stream = 0;
    for (const TrafficMix& mix : script.traffic) {
      for (const VirtualCall& call : MakeTraffic(mix, seed * 1000 + stream++))
        fleet.AddCall(call);
    }
    for (const VirtualCall& call : script.calls)
      fleet.AddCall(call);
    for (const auto& event : script.events) {
      const auto& action = event.second;
      fleet.At(event.first, [&fleet, &action] { action(&fleet); });
    }
    fleet.RunUntil(script.end);
    ++result.runs;
    result.calls += static_cast<int64_t>(fleet.records().size());
    for (const auto& [line, sentence] : expectations) {
      Judged judged{.fleet = fleet};
      Words words;
      std::regex_match(line.text, words, std::regex(sentence->form));
      sentence->act(words, &judged);
      ++result.checks;
      if (!judged.problem.empty()) {
        result.failures.push_back(absl::StrCat(
            place(line), "seed ", seed, ": ", line.text, ": ", judged.problem));
      }
    }
  }
  return result;
}

}  // namespace chicory
