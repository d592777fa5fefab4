#include "modules/store/configuration_publisher.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

/** Maximum number of attempts per call. An attempt fails if another publish is
    concurrent or if a response is lost. */
constexpr int kMaxAttempts = 8;

/** Returns whether the history contains `change_id`, and in which revision. */
bool FindChange(const ConfigurationIndex& index,
                const std::string& change_id,
                uint64_t* revision) {
  for (const HistoryEntry& entry : index.history) {
    if (entry.change_id != change_id)
      continue;
    *revision = entry.revision;
    return true;
  }
  return false;
}

/** Returns the newest revision in the history in which `team` changed; 0 if
    there is none. */
uint64_t LastChangeRevision(const ConfigurationIndex& index,
                            const std::string& team) {
  uint64_t last = 0;
  for (const HistoryEntry& entry : index.history) {
    if (entry.team == team)
      last = entry.revision;
  }
  return last;
}

}  // namespace

std::string BlobKey(const std::string& name) {
  return "config/blobs/" + name;
}

ConfigurationPublisher::FilesByTeam ConfigurationPublisher::GroupByTeam(
    const std::vector<SourceFile>& files,
    Findings* findings) {
  FilesByTeam grouped;
  for (const SourceFile& file : files) {
    const std::string team = ConfigurationReader::TeamOf(file, findings);
    if (!team.empty())
      grouped[team].push_back(file);
  }
  return grouped;
}

Result<ConfigurationPublisher::Loaded> ConfigurationPublisher::Load() {
  Loaded loaded;
  auto object = Capture([&] { return store_->Read(kIndexKey); });
  if (!object.ok && object.error.code == ErrorCode::kNotFound)
    return loaded;
  if (!object.ok)
    return Fail(object.error.code, object.error.message);
  loaded.version = object.value.version;
  BOOST_LEAF_ASSIGN(loaded.index,
                    ConfigurationIndex::FromJson(object.value.value));
  for (const auto& [team, name] : loaded.index.blobs) {
    BOOST_LEAF_AUTO(blob, store_->Read(BlobKey(name)));
    BOOST_LEAF_ASSIGN(loaded.files[team], BlobToFiles(blob.value));
    loaded.blobs[name] = std::move(blob.value);
  }
  return loaded;
}

Result<std::shared_ptr<const ConfigurationSnapshot>>
ConfigurationPublisher::Current() {
  BOOST_LEAF_AUTO(loaded, Load());
  return ConfigurationSnapshot::Build(loaded.index.ToJson(),
                                      std::move(loaded.blobs));
}

Result<void> ConfigurationPublisher::Check(const FilesByTeam& files,
                                           Findings* findings) {
  BOOST_LEAF_AUTO(loaded, Load());
  for (const auto& [team, team_files] : files)
    loaded.files[team] = team_files;
  ConfigurationReader::Read(loaded.files, findings);
  return {};
}

Result<void> ConfigurationPublisher::WriteBlob(const std::string& blob) {
  const std::string key = BlobKey(BlobName(blob));
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto written = Capture([&] { return store_->Write(key, blob, 0); });
    // Blobs are named by a hash of their content, so a conflict means that an
    // identical blob exists already.
    if (written.ok || written.error.code == ErrorCode::kConflict)
      return {};
    if (written.error.code != ErrorCode::kOutcomeUnknown)
      return Fail(written.error.code, written.error.message);
  }
  return Fail(ErrorCode::kOutcomeUnknown, "no response to the write of " + key);
}

Result<uint64_t> ConfigurationPublisher::Publish(const Request& request) {
  bool maybe_written = false;
  Error last_error{ErrorCode::kConflict, "too many concurrent publishes"};
  uint64_t base = request.base_revision;
  bool is_first_attempt = true;
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto loaded = Capture([&] { return Load(); });
    if (!loaded.ok) {
      if (!maybe_written)
        return Fail(loaded.error.code, loaded.error.message);
      last_error = {ErrorCode::kOutcomeUnknown, loaded.error.message};
      continue;
    }
    Loaded& current = loaded.value;
    uint64_t revision = 0;
    if (FindChange(current.index, request.change_id, &revision))
      return revision;
    if (is_first_attempt && base == 0)
      base = current.index.revision;
    is_first_attempt = false;
    for (const auto& [team, files] : request.files) {
      const uint64_t changed = LastChangeRevision(current.index, team);
      if (changed > base) {
        return Fail(ErrorCode::kConflict,
                    absl::StrCat("team ", team, " published revision ", changed,
                                 " since base revision ", base));
      }
      current.files[team] = files;
    }
    Findings findings;
    ConfigurationReader::Read(current.files, &findings);
    if (!findings.empty())
      return Fail(ErrorCode::kInvalid, findings.ToText());

    ConfigurationIndex next = current.index;
    ++next.revision;
    next.change_id = request.change_id;
    for (const auto& [team, files] : request.files) {
      const std::string blob = FilesToBlob(files);
      BOOST_LEAF_CHECK(WriteBlob(blob));
      next.blobs[team] = BlobName(blob);
      next.history.push_back(
          {.revision = next.revision,
           .change_id = request.change_id,
           .published_by = request.published_by,
           .team = team,
           .time_unix_seconds = absl::ToUnixSeconds(request.now),
           .blob = next.blobs[team]});
    }
    while (next.history.size() > ConfigurationIndex::kMaxHistory)
      next.history.erase(next.history.begin());
    auto written = Capture([&] {
      return store_->Write(kIndexKey, next.ToJson(), current.version);
    });
    if (written.ok)
      return next.revision;
    last_error = written.error;
    if (written.error.code == ErrorCode::kOutcomeUnknown)
      maybe_written = true;
    else if (written.error.code != ErrorCode::kConflict)
      return Fail(written.error.code, written.error.message);
  }
  return Fail(last_error.code, last_error.message);
}

Result<std::vector<std::string>> ConfigurationPublisher::Diff(
    const FilesByTeam& files) {
  BOOST_LEAF_AUTO(loaded, Load());
  std::vector<std::string> lines;
  for (const auto& [team, team_files] : files) {
    std::map<std::string, std::string> before;
    for (const SourceFile& file : loaded.files[team])
      before[file.name] = file.text;
    for (const SourceFile& file : team_files) {
      auto old = before.find(file.name);
      if (old == before.end())
        lines.push_back(absl::StrCat("+ ", team, " ", file.name));
      else if (old->second != file.text)
        lines.push_back(absl::StrCat("~ ", team, " ", file.name));
      before.erase(file.name);
    }
    for (const auto& [name, text] : before)
      lines.push_back(absl::StrCat("- ", team, " ", name));
  }
  return lines;
}

}  // namespace chicory
