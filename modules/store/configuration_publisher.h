#ifndef MODULES_STORE_CONFIGURATION_PUBLISHER_H_
#define MODULES_STORE_CONFIGURATION_PUBLISHER_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/config/published.h"
#include "modules/core/findings.h"
#include "modules/store/object_store.h"

namespace chicory {

/** Key of the index object. */
inline constexpr char kIndexKey[] = "config/index";

/** Key of a blob by its name. */
std::string BlobKey(const std::string& name);

/** Publishes the files of teams; the one implementation behind the publishing
    tool and the administration API. Thread-safe if the store is. */
class ConfigurationPublisher {
 public:
  using FilesByTeam = std::map<std::string, std::vector<SourceFile>>;

  struct Request {
    FilesByTeam files;
    /** Who publishes; for the history. */
    std::string published_by;
    /** Unique; tells this change from all others when answers are lost. */
    std::string change_id;
    /** The revision that the publisher looked at; 0 means the present one.
        A change of the same team after it is a conflict. */
    uint64_t base_revision = 0;
    absl::Time now;
  };

  /** `store` must outlive this object. */
  explicit ConfigurationPublisher(ObjectStore* store) : store_(store) {}

  /** Groups files by the team that each names. */
  static FilesByTeam GroupByTeam(const std::vector<SourceFile>& files,
                                 Findings* findings);

  /** The snapshot in the store; an empty one when nothing is published. */
  Result<std::shared_ptr<const ConfigurationSnapshot>> Current();

  /** Checks `files` together with the other teams' present files. */
  Result<void> Check(const FilesByTeam& files, Findings* findings);

  /** Publishes and returns the new revision. kInvalid: findings, as text.
      kConflict: the same team published since the base. Changes of other
      teams are merged. A lost answer is resolved by reading back. */
  Result<uint64_t> Publish(const Request& request);

  /** A line for each file that would change: `+`, `-` or `~`. */
  Result<std::vector<std::string>> Diff(const FilesByTeam& files);

 private:
  struct Loaded {
    uint64_t version = 0;
    ConfigurationIndex index;
    FilesByTeam files;
    std::map<std::string, std::string> blobs;
  };

  Result<Loaded> Load();
  Result<void> WriteBlob(const std::string& blob);

  ObjectStore* store_;
};

}  // namespace chicory

#endif  // MODULES_STORE_CONFIGURATION_PUBLISHER_H_
