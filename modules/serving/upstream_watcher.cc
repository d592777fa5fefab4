#include "modules/serving/upstream_watcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "modules/core/hashing.h"
#include "modules/core/log.h"

namespace chicory {

namespace {

constexpr absl::Duration kStopCheckInterval = absl::Milliseconds(50);

/** Number of successive reads of the instance list that an upstream must be
    missing from before its state becomes kGone. */
constexpr int kMissedReadsUntilGone = 3;

/** Time until an unresponsive engine is polled again. */
constexpr absl::Duration kUnresponsivePollDelay = absl::Seconds(2);

}  // namespace

UpstreamWatcher::UpstreamWatcher(const Options& options,
                                 Callbacks callbacks,
                                 ObjectStore* store,
                                 UpstreamClient* client,
                                 RequestBroker* broker,
                                 Counters* counters,
                                 Timeline* timeline)
    : options_(options),
      callbacks_(std::move(callbacks)),
      store_(store),
      client_(client),
      broker_(broker),
      counters_(counters),
      timeline_(timeline),
      orphans_(options.instance, options.incarnation) {}

UpstreamWatcher::~UpstreamWatcher() {
  Stop();
}

void UpstreamWatcher::Start() {
  threads_.emplace_back([this] { RunListReads(); });
  threads_.emplace_back([this] { RunLoadPolls(); });
  threads_.emplace_back([this] { RunSweeps(); });
}

void UpstreamWatcher::Stop() {
  is_stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void UpstreamWatcher::Sleep(absl::Duration duration) const {
  const absl::Time until = absl::Now() + duration;
  while (!is_stopping_ && absl::Now() < until)
    absl::SleepFor(std::min(kStopCheckInterval, duration));
}

void UpstreamWatcher::RunListReads() {
  while (!is_stopping_) {
    ReadInstanceList();
    Sleep(options_.list_period);
  }
}

void UpstreamWatcher::ReadInstanceList() {
  const auto records = Capture([&] { return store_->Instances(); });
  // While the platform is unavailable, the last list stays in force.
  if (!records.ok) {
    counters_->Add("chicory_instance_list_failures_total");
    return;
  }
  std::map<std::string, int> missed_reads;
  broker_->RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time) {
    for (const auto& [id, row] : dispatcher.upstreams().rows())
      missed_reads[row.name] = missed_reads_[row.name] + 1;
    for (const InstanceRecord& record : records.value) {
      if (record.role == "entry")
        continue;
      missed_reads[record.name] = 0;
      dispatcher.OnUpstreamListed({.name = record.name,
                                   .address = record.address,
                                   .data_centre = record.data_centre,
                                   .pool = record.pool,
                                   .models = record.models});
      dispatcher.OnUpstreamState(record.name, record.leaving
                                                  ? UpstreamState::kLeaving
                                                  : UpstreamState::kLive);
    }
    for (const auto& [name, reads] : missed_reads) {
      if (reads == kMissedReadsUntilGone)
        dispatcher.OnUpstreamState(name, UpstreamState::kGone);
    }
  });
  missed_reads_ = std::move(missed_reads);
  for (const InstanceRecord& record : records.value) {
    if (record.role == "entry")
      callbacks_.on_entry_instance(record);
  }
}

std::vector<UpstreamWatcher::Engine> UpstreamWatcher::Engines() const {
  std::vector<Engine> engines;
  broker_->RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time) {
    for (const auto& [id, row] : dispatcher.upstreams().rows()) {
      if (!row.models.empty() && row.state != UpstreamState::kGone)
        engines.push_back({.name = row.name, .address = row.address});
    }
  });
  std::sort(engines.begin(), engines.end(),
            [](const Engine& a, const Engine& b) { return a.name < b.name; });
  return engines;
}

void UpstreamWatcher::RunLoadPolls() {
  std::map<std::string, Engine> known_engines;
  while (!is_stopping_) {
    std::vector<Engine> engines = Engines();
    if (engines.size() > options_.max_polled) {
      std::vector<std::string> names;
      for (const Engine& engine : engines)
        names.push_back(engine.name);
      const std::vector<std::string> polled_names =
          RendezvousTop(options_.instance, names, options_.max_polled);
      std::erase_if(engines, [&](const Engine& engine) {
        return std::count(polled_names.begin(), polled_names.end(),
                          engine.name) == 0;
      });
    }
    for (const Engine& engine : engines) {
      if (is_stopping_)
        return;
      Engine& state =
          known_engines.try_emplace(engine.name, engine).first->second;
      state.address = engine.address;
      if (absl::Now() >= state.next_poll)
        PollLoad(&state);
    }
    Sleep(options_.load_period);
  }
}

void UpstreamWatcher::PollLoad(Engine* engine) {
  const auto load = Capture([&] { return client_->Load(engine->address); });
  if (load.ok) {
    broker_->RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time) {
      dispatcher.OnLoadReportFrom(engine->name, load.value);
    });
    if (load.value.incarnation != engine->incarnation)
      engine->cache_sequence = 0;
    engine->incarnation = load.value.incarnation;
    ReadCacheChanges(engine);
    return;
  }
  counters_->Add("chicory_load_poll_failures_total");
  if (!broker_->OnLoadPollFailed(engine->name))
    return;
  engine->next_poll = absl::Now() + kUnresponsivePollDelay;
  timeline_->Record(absl::Now(), TimelineEventKind::kUpstreamState, "",
                    {{"upstream", engine->name}, {"state", "silent"}});
  LogEvent(Severity::kWarning, "upstream_silent", {{"upstream", engine->name}});
}

void UpstreamWatcher::ReadCacheChanges(Engine* engine) {
  const auto changes = Capture([&] {
    return client_->CacheChanges(engine->address, engine->cache_sequence);
  });
  if (!changes.ok || changes.value.empty())
    return;
  engine->cache_sequence = changes.value.back().sequence;
  broker_->RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time) {
    const UpstreamRow* row = dispatcher.upstreams().FindByName(engine->name);
    if (row == nullptr)
      return;
    for (const UpstreamClient::CacheChange& change : changes.value) {
      dispatcher.OnCacheEvent(row->id, change.sequence, change.block,
                              change.is_stored);
    }
  });
}

void UpstreamWatcher::RunSweeps() {
  while (!is_stopping_) {
    const std::vector<std::string> instances = callbacks_.live_instances();
    for (const Engine& engine : Engines()) {
      if (is_stopping_)
        return;
      // Rendezvous hashing assigns each engine to one instance. Instances that
      // disagree on the live ones may sweep an engine twice, which is harmless.
      const auto sweeper = RendezvousTop("sweep/" + engine.name, instances, 1);
      if (sweeper.empty() || sweeper.front() == options_.instance)
        Sweep(engine);
    }
    Sleep(options_.sweep_period);
  }
}

void UpstreamWatcher::Sweep(const Engine& engine) {
  const auto attempts =
      Capture([&] { return client_->Attempts(engine.address); });
  if (!attempts.ok)
    return;
  const std::vector<AttemptId> orphans = orphans_.Sweep(
      engine.name, attempts.value, callbacks_.owner_state,
      [&](uint64_t sequence) { return broker_->IsRunning(sequence); },
      absl::Now());
  for (const AttemptId& orphan : orphans) {
    const std::string attempt_id = orphan.ToString();
    counters_->Add("chicory_orphans_released_total");
    timeline_->Record(absl::Now(), TimelineEventKind::kOrphanReleased,
                      attempt_id, {{"upstream", engine.name}});
    LogEvent(Severity::kWarning, "orphan_released",
             {{"upstream", engine.name}, {"attempt", attempt_id}});
    broker_->Cancel(engine.address, attempt_id);
  }
}

}  // namespace chicory
