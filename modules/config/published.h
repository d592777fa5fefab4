#ifndef MODULES_CONFIG_PUBLISHED_H_
#define MODULES_CONFIG_PUBLISHED_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "modules/config/configuration.h"
#include "modules/core/error.h"

namespace chicory {

/** A published change to the configuration of one team. */
struct HistoryEntry {
  uint64_t revision = 0;
  std::string change_id;
  std::string published_by;
  std::string team;
  /** Seconds since the Unix epoch. */
  int64_t time_unix_seconds = 0;
  /** Name of the blob with the team's files as of this change. */
  std::string blob;
};

/** The object that names the current content of the configuration.

    The content itself is stored in immutable blobs named by their hash. A
    change is therefore published by a single conditional write of the index,
    and readers fetch only the blobs that changed. */
struct ConfigurationIndex {
  uint64_t revision = 0;
  std::string change_id;
  /** The name of each team's blob, by team. */
  std::map<std::string, std::string> blobs;
  /** The last kMaxHistory entries, newest last. */
  std::vector<HistoryEntry> history;

  /** Maximum number of entries in `history`. */
  static constexpr size_t kMaxHistory = 50;

  /** Returns the stored form, which is JSON. */
  std::string ToJson() const;

  /** Parses the stored form; kInvalid if it is malformed. */
  static Result<ConfigurationIndex> FromJson(std::string_view text);
};

/** Serialises the files of one team into a blob. */
std::string FilesToBlob(const std::vector<SourceFile>& files);

/** Parses a blob into the files of a team; kInvalid if it is malformed. */
Result<std::vector<SourceFile>> BlobToFiles(std::string_view blob);

/** Returns the name of a blob: the SHA-256 of its text in hexadecimal. */
std::string BlobName(std::string_view blob);

/** An index with all the blobs it refers to, and the configuration that they
    define. Shared between threads by pointer to const. */
struct ConfigurationSnapshot {
  ConfigurationIndex index;
  /** The stored form of `index`. */
  std::string index_json;
  /** The text of each blob, by name. */
  std::map<std::string, std::string> blobs;
  Configuration configuration;

  /** Parses and validates the index and its blobs. Fails with kInvalid if a
      blob is missing or does not match its name, or if there are findings. */
  static Result<std::shared_ptr<const ConfigurationSnapshot>> Build(
      std::string index_json,
      std::map<std::string, std::string> blobs);
};

}  // namespace chicory

#endif  // MODULES_CONFIG_PUBLISHED_H_
