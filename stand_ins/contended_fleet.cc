#include "stand_ins/contended_fleet.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "stand_ins/batch_engine.h"

namespace chicory {

namespace {

constexpr int kEngines = 45;
constexpr int kEngineSlots = 12;
constexpr int kPlainUpstreams = 7;
constexpr int kPlainSlots = 6;
constexpr absl::Duration kPlainWork = absl::Milliseconds(60);
constexpr int kAccounts = 24;
/** Accounts that make several times the demand of the others. */
constexpr int kLargeAccounts = 3;
constexpr double kLargeAccountWeight = 5;
/** From the caller to its instance, and from there to the scheduler. */
constexpr absl::Duration kToInstance = absl::Milliseconds(1);
constexpr absl::Duration kToScheduler = absl::Milliseconds(4);
/** One caller in this many retries several times and immediately. */
constexpr int kImpatientInterval = 10;
constexpr int kImpatientRetries = 4;
constexpr absl::Duration kImmediateRetry = absl::Milliseconds(5);
/** Callers wait for `Retry-After` up to this share of the time left. */
constexpr double kHonouredShare = 1.0 / 3;
constexpr absl::Duration kQuickRefusal = absl::Milliseconds(200);
constexpr absl::Duration kMinAbandonTime = absl::Seconds(2);
constexpr absl::Duration kTick = absl::Milliseconds(20);

/** The times that docs/HARD-LOAD.md does not state are those of the engines in
    the scheduler's tests, at this deployment's prefill rate. */
EngineProfile Engine() {
  return {.slots = kEngineSlots,
          .memory_tokens = 382500,
          .step_ms = 0.925,
          .per_sequence_ms = 0.00425,
          .per_context_k_ms = 0.00285,
          .prefill_tokens_per_ms = 256,
          .per_million_pairs_ms = 0.127,
          .chunk_tokens = 2048,
          .steps_per_pass = 52};
}

/** A caller with all its attempts. */
struct Caller {
  const CallerKind* kind = nullptr;
  uint64_t id = 0;
  AccountKey account = 0;
  int64_t tokens = 0;
  absl::Time first;
  int second = 0;
  bool in_surge = false;
  bool impatient = false;
  int retries = 0;
  int refusals = 0;
  WorkKey key;
  absl::Time arrived;
  absl::Time last_event;
  bool sent = false;
  bool has_event = false;
  bool on_time = true;
  bool ended = false;
  std::vector<UpstreamKey> avoid;

  absl::Duration abandon_time() const {
    if (tokens == 0)
      return absl::InfiniteDuration();
    return std::max({kMinAbandonTime, kind->target * 4, kind->event_gap * 8.0});
  }
  absl::Time deadline() const { return first + kind->time_limit; }
};

class ContendedFleet {
 public:
  explicit ContendedFleet(const ContendedLoad& load)
      : load_(load), kinds_(DeploymentAKinds()), random_(load.seed) {
    std::vector<UpstreamSpec> upstreams;
    for (UpstreamKey key = 1; key <= kEngines; ++key) {
      upstreams.push_back({key, "engines", kEngineSlots});
      engines_.emplace(key, BatchEngine(Engine()));
    }
    for (UpstreamKey key = 101; key < 101 + kPlainUpstreams; ++key)
      upstreams.push_back({key, "desk", kPlainSlots});
    if (load.configure)
      load.configure(&scheduler_);
    scheduler_.SetUpstreams(upstreams);
    scheduler_.SetEngine("engines", Engine());
  }

  ContendedReport Run() {
    MakeCallers();
    At(begin_ + kTick, [this] { Tick(); });
    while (!events_.empty()) {
      auto node = events_.extract(events_.begin());
      now_ = node.key();
      node.mapped()();
    }
    const double seconds = absl::ToDoubleSeconds(load_.surge);
    report_.on_time_per_second = report_.surge.on_time / seconds;
    return std::move(report_);
  }

 private:
  void At(absl::Time time, std::function<void()> run) {
    events_.emplace(time, std::move(run));
  }

  void MakeCallers() {
    const absl::Duration whole = load_.before + load_.surge + load_.after;
    for (const CallerKind& kind : kinds_) {
      absl::Time at = begin_;
      while (true) {
        const absl::Duration since = at - begin_ - load_.before;
        const bool in_surge =
            since >= absl::ZeroDuration() && since < load_.surge;
        const double rate = kind.per_second * (in_surge ? load_.multiple : 1);
        at +=
            absl::Seconds(std::exponential_distribution<double>(rate)(random_));
        if (at >= begin_ + whole)
          break;
        AddCaller(kind, at);
      }
    }
  }

  void AddCaller(const CallerKind& kind, absl::Time at) {
    auto caller = std::make_shared<Caller>();
    const absl::Duration since = at - begin_ - load_.before;
    caller->kind = &kind;
    caller->id = ++last_id_;
    caller->account = PickAccount();
    caller->tokens = static_cast<int64_t>(
        static_cast<double>(kind.prompt_tokens) *
        std::uniform_real_distribution<double>(0.5, 1.5)(random_));
    caller->first = at;
    caller->second = static_cast<int>(std::floor(absl::ToDoubleSeconds(since)));
    caller->in_surge = since >= absl::ZeroDuration() && since < load_.surge;
    caller->impatient = random_() % kImpatientInterval == 0;
    At(at, [this, caller] { Attempt(caller); });
  }

  AccountKey PickAccount() {
    if (load_.one_large_account && random_() % 2 == 0)
      return 1;
    std::vector<double> weights(kAccounts, 1);
    std::fill_n(weights.begin(), kLargeAccounts, kLargeAccountWeight);
    return 1 + static_cast<AccountKey>(std::discrete_distribution<int>(
                   weights.begin(), weights.end())(random_));
  }

  using CallerPtr = std::shared_ptr<Caller>;

  void Attempt(const CallerPtr& caller) {
    caller->arrived = now_ + kToInstance;
    caller->sent = false;
    caller->avoid.clear();
    At(caller->arrived + kToScheduler, [this, caller] { Submit(caller); });
    const WorkKey key = caller->key = {1, ++last_sequence_};
    callers_[key] = caller;
    const absl::Time leaves =
        std::min(now_ + caller->abandon_time(), caller->deadline());
    At(leaves, [this, caller, key] {
      if (!caller->ended && caller->key == key && !caller->has_event)
        Leave(caller);
    });
  }

  void Submit(const CallerPtr& caller) {
    if (caller->ended)
      return;
    const CallerKind& kind = *caller->kind;
    const bool plain = caller->tokens == 0;
    scheduler_.Submit(
        {.key = caller->key,
         .service = plain ? "desk" : "engines",
         .prompt_tokens = caller->tokens,
         .output_tokens =
             plain ? 0 : int64_t{kind.events} * Engine().steps_per_pass,
         .due = caller->arrived + kind.target,
         .deadline = caller->deadline(),
         .first_event_deadline = caller->arrived + caller->abandon_time(),
         .event_gap = kind.event_gap,
         .priority = kind.priority,
         .avoid = caller->avoid,
         .account = caller->account,
         .fingerprint = caller->id});
    RunScheduler();
  }

  void RunScheduler() {
    for (const ScheduleDecision& decision : scheduler_.Run(now_)) {
      if (load_.on_decision)
        load_.on_decision(decision, now_);
      const CallerPtr caller = callers_.at(decision.key);
      if (decision.kind == ScheduleDecision::Kind::kRefuse)
        Refuse(caller, decision.retry_after);
      else
        Send(caller, decision);
    }
  }

  void Refuse(const CallerPtr& caller, absl::Duration retry_after) {
    callers_.erase(caller->key);
    caller->key = {};
    const absl::Time told = now_ + kToScheduler + kToInstance;
    if (caller->in_surge) {
      const absl::Duration took = told - (caller->arrived - kToInstance);
      const bool quick =
          took <= std::max(caller->kind->target / 8, kQuickRefusal);
      ++report_.refusals;
      report_.quick_refusals += quick;
      report_.kinds[caller->kind->name].slow_refusals += !quick;
    }
    if (caller->refusals == 0 && retry_after > absl::ZeroDuration() &&
        !caller->impatient) {
      ++caller->refusals;
      const absl::Duration wait =
          std::min(retry_after, (caller->deadline() - told) * kHonouredShare);
      At(told + wait, [this, caller] { Attempt(caller); });
      return;
    }
    ++caller->refusals;
    if (caller->refusals <= (caller->impatient ? kImpatientRetries : 0)) {
      At(told + kImmediateRetry, [this, caller] { Attempt(caller); });
      return;
    }
    End(caller, [](CallerCounts* counts) { ++counts->refused; });
  }

  void Send(const CallerPtr& caller, const ScheduleDecision& decision) {
    caller->sent = true;
    const WorkKey key = caller->key;
    if (caller->tokens == 0) {
      SendPlain(caller, decision.upstream);
      return;
    }
    const size_t parts = decision.helpers.size() + 1;
    const absl::Duration prefill =
        PrefillTime(Engine(), caller->tokens) / static_cast<double>(parts);
    std::vector<UpstreamKey>& used = used_[key];
    used = decision.helpers;
    used.insert(used.begin(), decision.upstream);
    parts_left_[key] = static_cast<int>(parts);
    for (UpstreamKey upstream : used) {
      const auto role = parts == 1 ? BatchEngine::Role::kAlone
                        : upstream == decision.upstream
                            ? BatchEngine::Role::kLead
                            : BatchEngine::Role::kPart;
      engines_.at(upstream).Add(key, role, prefill, caller->tokens,
                                caller->kind->events);
      BeginPass(upstream);
    }
  }

  void SendPlain(const CallerPtr& caller, UpstreamKey upstream) {
    const WorkKey key = caller->key;
    if (++plain_running_[upstream] > kPlainSlots) {
      // It refuses without running the request, which is placed elsewhere.
      --plain_running_[upstream];
      ++report_.rejections_by_plain_upstreams;
      scheduler_.OnEnded(key, AttemptResult::kFull, 0, now_);
      callers_.erase(key);
      caller->sent = false;
      caller->key = {1, ++last_sequence_};
      callers_[caller->key] = caller;
      caller->avoid.push_back(upstream);
      At(now_ + kToScheduler, [this, caller] { Submit(caller); });
      return;
    }
    At(now_ + kPlainWork, [this, caller, key, upstream] {
      --plain_running_[upstream];
      if (caller->ended || !(caller->key == key))
        return;
      caller->on_time = now_ <= caller->first + caller->kind->target;
      scheduler_.OnEnded(key, AttemptResult::kDone, 0, now_);
      Serve(caller);
      RunScheduler();
    });
  }

  void BeginPass(UpstreamKey upstream) {
    const absl::Duration duration = engines_.at(upstream).BeginPass();
    if (duration > absl::ZeroDuration())
      At(now_ + duration, [this, upstream] { EndPass(upstream); });
  }

  void EndPass(UpstreamKey upstream) {
    const BatchEngine::PassResult result = engines_.at(upstream).EndPass();
    for (WorkKey key : result.prefilled) {
      auto found = parts_left_.find(key);
      if (found == parts_left_.end() || --found->second > 0)
        continue;
      const UpstreamKey lead = used_.at(key).front();
      engines_.at(lead).SetReady(key);
      BeginPass(lead);
    }
    for (WorkKey key : result.events)
      OnEvent(key);
    for (WorkKey key : result.finished)
      OnFinished(key);
    BeginPass(upstream);
    RunScheduler();
  }

  void OnEvent(WorkKey key) {
    const auto found = callers_.find(key);
    if (found == callers_.end())
      return;
    const CallerPtr caller = found->second;
    const absl::Time received = now_ + kToInstance;
    if (!caller->has_event) {
      caller->has_event = true;
      caller->on_time = received <= caller->first + caller->kind->target;
      scheduler_.OnResponseStarted(key, now_);
    } else if (received - caller->last_event > caller->kind->event_gap) {
      caller->on_time = false;
    }
    caller->last_event = received;
    At(received + caller->abandon_time(), [this, caller, received] {
      if (!caller->ended && caller->last_event == received)
        Leave(caller);
    });
  }

  void OnFinished(WorkKey key) {
    const auto found = callers_.find(key);
    if (found == callers_.end())
      return;
    const CallerPtr caller = found->second;
    scheduler_.OnEnded(key, AttemptResult::kDone, 0, now_);
    Release(key);
    Serve(caller);
  }

  void Leave(const CallerPtr& caller) {
    const WorkKey key = caller->key;
    scheduler_.OnEnded(key, AttemptResult::kCancelled, 0, now_);
    Release(key);
    const bool sent = caller->sent;
    End(caller, [sent](CallerCounts* counts) {
      ++(sent ? counts->left_sent : counts->left_unsent);
    });
    RunScheduler();
  }

  void Release(WorkKey key) {
    const auto used = used_.find(key);
    if (used != used_.end()) {
      for (UpstreamKey upstream : used->second)
        engines_.at(upstream).Remove(key);
      used_.erase(used);
    }
    parts_left_.erase(key);
  }

  void Serve(const CallerPtr& caller) {
    const bool on_time = caller->on_time;
    const double work = WorkOf(*caller);
    End(caller, [=](CallerCounts* counts) {
      ++(on_time ? counts->on_time : counts->late);
      counts->work_served += work;
    });
  }

  /** Returns the engine time of a request, in seconds. */
  static double WorkOf(const Caller& caller) {
    if (caller.tokens == 0)
      return 0;
    const int64_t output =
        int64_t{caller.kind->events} * Engine().steps_per_pass;
    return absl::ToDoubleSeconds(PrefillTime(Engine(), caller.tokens) +
                                 DecodeTime(Engine(), output) / kEngineSlots);
  }

  void End(const CallerPtr& caller,
           const std::function<void(CallerCounts*)>& count) {
    caller->ended = true;
    callers_.erase(caller->key);
    const auto add = [&](CallerCounts* counts) {
      ++counts->callers;
      counts->work += WorkOf(*caller);
      counts->largest = std::max(counts->largest, WorkOf(*caller));
      counts->refused_twice += caller->refusals >= 2;
      count(counts);
    };
    add(&report_.seconds[caller->second]);
    if (!caller->in_surge)
      return;
    add(&report_.surge);
    add(&report_.kinds[caller->kind->name]);
    add(&report_.accounts[caller->account]);
  }

  void Tick() {
    RunScheduler();
    if (!events_.empty())
      At(now_ + kTick, [this] { Tick(); });
  }

  const ContendedLoad load_;
  const std::vector<CallerKind> kinds_;
  std::mt19937_64 random_;
  const absl::Time begin_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time now_ = begin_;
  std::multimap<absl::Time, std::function<void()>> events_;
  FleetScheduler scheduler_;
  std::map<UpstreamKey, BatchEngine> engines_;
  std::map<UpstreamKey, int> plain_running_;
  absl::flat_hash_map<WorkKey, CallerPtr> callers_;
  absl::flat_hash_map<WorkKey, std::vector<UpstreamKey>> used_;
  absl::flat_hash_map<WorkKey, int> parts_left_;
  uint64_t last_id_ = 0;
  uint64_t last_sequence_ = 0;
  ContendedReport report_;
};

}  // namespace

std::vector<CallerKind> DeploymentAKinds() {
  using absl::Milliseconds;
  using absl::Seconds;
  return {{.name = "chat",
           .prompt_tokens = 5000,
           .events = 33,
           .per_second = 67.4,
           .target = Milliseconds(300),
           .event_gap = Milliseconds(200),
           .time_limit = Seconds(10)},
          {.name = "review",
           .prompt_tokens = 45000,
           .events = 20,
           .per_second = 6.18,
           .target = Milliseconds(1500),
           .event_gap = Milliseconds(500),
           .time_limit = Seconds(10)},
          {.name = "digest",
           .prompt_tokens = 300000,
           .events = 16,
           .per_second = 1.83,
           .target = Seconds(4),
           .event_gap = Milliseconds(800),
           .time_limit = Seconds(15)},
          {.name = "reservation",
           .per_second = 6.43,
           .target = Milliseconds(300),
           .time_limit = Seconds(3),
           .priority = 2},
          {.name = "lookup",
           .per_second = 2.64,
           .target = Milliseconds(300),
           .time_limit = Seconds(3),
           .priority = 2}};
}

ContendedReport RunContendedFleet(const ContendedLoad& load) {
  return ContendedFleet(load).Run();
}

Fairness LeastFairness(const std::map<AccountKey, CallerCounts>& accounts) {
  struct Row {
    double demand = 0;
    double served = 0;
    double rounding = 0;
  };
  const auto least = [](std::vector<Row> rows) {
    std::sort(rows.begin(), rows.end(),
              [](const Row& a, const Row& b) { return a.demand < b.demand; });
    double left = 0;
    for (const Row& row : rows)
      left += row.served;
    double ratio = 1;
    size_t remaining = rows.size();
    for (const Row& row : rows) {
      const double share =
          std::min(row.demand, left / static_cast<double>(remaining--));
      left -= share;
      if (share > 0)
        ratio = std::min(ratio, (row.served + row.rounding) / share);
    }
    return ratio;
  };
  std::vector<Row> responses;
  std::vector<Row> times;
  for (const auto& [account, counts] : accounts) {
    responses.push_back({.demand = static_cast<double>(counts.callers),
                         .served = static_cast<double>(counts.served())});
    times.push_back({.demand = counts.work,
                     .served = counts.work_served,
                     .rounding = counts.largest});
  }
  return {.responses = least(responses), .engine_time = least(times)};
}

}  // namespace chicory
