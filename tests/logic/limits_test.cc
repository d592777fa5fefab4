#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "modules/decisions/account_limits.h"

namespace chicory {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);

/** A cluster of instances that share the limit of one account, in virtual
    time. */
class RateLimitCluster {
 public:
  RateLimitCluster(int count, double rate) : rate_{rate, 1e12} {
    for (int i = 0; i < count; ++i) {
      names_.push_back(absl::StrCat("entry", i));
      limits_.push_back(std::make_unique<AccountLimits>(names_.back()));
    }
    SetPartitions({names_});
  }

  /** Sets network partitions: instances see only those of their own. */
  void SetPartitions(const std::vector<std::vector<std::string>>& partitions) {
    partitions_ = partitions;
    for (size_t i = 0; i < names_.size(); ++i) {
      for (const auto& partition : partitions) {
        if (std::count(partition.begin(), partition.end(), names_[i]) != 0)
          limits_[i]->SetMembers(partition);
      }
    }
  }

  /** Sends `offered` requests per second, distributed over the instances by
      `weights`; returns the number admitted per second. */
  double Run(absl::Duration length,
             double offered,
             const std::vector<double>& weights) {
    int64_t admitted = 0;
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    const absl::Time end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      const int arrivals = std::poisson_distribution<int>(
          offered * absl::ToDoubleSeconds(kStep))(random_);
      for (int i = 0; i < arrivals; ++i) {
        absl::Duration wait;
        const size_t index = pick(random_);
        if (failed_.count(index) == 0)
          admitted += limits_[index]->Admit("account", rate_, 1, now_, &wait);
      }
      if (now_ >= next_period_) {
        next_period_ += AccountLimits::kPeriod;
        ExchangeDemands();
      }
    }
    return static_cast<double>(admitted) / absl::ToDoubleSeconds(length);
  }

  void Fail(size_t index) {
    failed_.insert(index);
    std::vector<std::string> live;
    for (size_t i = 0; i < names_.size(); ++i) {
      if (failed_.count(i) == 0)
        live.push_back(names_[i]);
    }
    SetPartitions({live});
  }

  const std::vector<std::string>& names() const { return names_; }

 private:
  void ExchangeDemands() {
    for (size_t i = 0; i < limits_.size(); ++i) {
      if (failed_.count(i) != 0)
        continue;
      for (const auto& [owner, demands] : limits_[i]->TakeDemands(now_)) {
        for (size_t j = 0; j < names_.size(); ++j) {
          if (names_[j] != owner || failed_.count(j) != 0)
            continue;
          for (const AccountDemand& demand : demands)
            limits_[i]->OnGrant(
                limits_[j]->OnDemand(names_[i], demand, rate_, now_), now_);
        }
      }
    }
  }

  AccountRate rate_;
  std::mt19937_64 random_{1};
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<AccountLimits>> limits_;
  std::vector<std::vector<std::string>> partitions_;
  std::set<size_t> failed_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time next_period_ = now_;
};

std::vector<double> Even(size_t count) {
  return std::vector<double>(count, 1.0);
}

/** All load of the account goes to the first three instances. */
std::vector<double> Uneven(size_t count) {
  std::vector<double> weights(count, 0.0);
  weights[0] = 5;
  weights[1] = 3;
  weights[2] = 1;
  return weights;
}

struct LimitCase {
  const char* name;
  int instances;
  bool is_even;
};

TEST_CASE("an account is limited to its rate and can use it") {
  const auto test_case =
      GENERATE(values<LimitCase>({{"15 even", 15, true},
                                  {"15 uneven", 15, false},
                                  {"340 even", 340, true},
                                  {"340 uneven", 340, false}}));
  INFO(test_case.name);
  constexpr double kRate = 1000;
  RateLimitCluster cluster(test_case.instances, kRate);
  const auto weights = test_case.is_even ? Even(test_case.instances)
                                         : Uneven(test_case.instances);
  cluster.Run(absl::Seconds(10), 3 * kRate, weights);
  const double admitted = cluster.Run(absl::Seconds(30), 3 * kRate, weights);
  INFO("admitted " << admitted << " requests/s of a limit of " << kRate);
  REQUIRE(admitted <= 1.05 * kRate);
  REQUIRE(admitted >= 0.8 * kRate);
}

TEST_CASE("an account below its rate is rarely refused") {
  RateLimitCluster cluster(15, 1000);
  cluster.Run(absl::Seconds(10), 500, Even(15));
  REQUIRE(cluster.Run(absl::Seconds(30), 500, Even(15)) >= 0.97 * 500);
}

TEST_CASE("overshoot is bounded when instances fail") {
  RateLimitCluster cluster(15, 1000);
  cluster.Run(absl::Seconds(10), 3000, Even(15));
  for (size_t i = 0; i < 5; ++i)
    cluster.Fail(i * 3);
  // Grants of a failed owner and of its successor overlap for their validity.
  REQUIRE(cluster.Run(AccountLimits::kGrantValidity, 3000, Even(15)) <= 2000);
  REQUIRE(cluster.Run(absl::Seconds(20), 3000, Even(15)) <= 1050);
}

TEST_CASE("overshoot is bounded by the number of network partitions") {
  RateLimitCluster cluster(30, 1000);
  cluster.Run(absl::Seconds(10), 3000, Even(30));
  const auto& names = cluster.names();
  cluster.SetPartitions(
      {{names.begin(), names.begin() + 15}, {names.begin() + 15, names.end()}});
  cluster.Run(absl::Seconds(10), 3000, Even(30));
  REQUIRE(cluster.Run(absl::Seconds(20), 3000, Even(30)) <= 2100);
  cluster.SetPartitions({names});
  cluster.Run(absl::Seconds(10), 3000, Even(30));
  REQUIRE(cluster.Run(absl::Seconds(20), 3000, Even(30)) <= 1050);
}

TEST_CASE("shares follow the load of an account between instances") {
  RateLimitCluster cluster(15, 1000);
  cluster.Run(absl::Seconds(20), 3000, Uneven(15));
  std::vector<double> moved(15, 0.0);
  moved[10] = 2;
  moved[11] = 1;
  // Old and new shares overlap for the validity of a grant.
  REQUIRE(cluster.Run(AccountLimits::kGrantValidity, 3000, moved) <= 2000);
  const double admitted = cluster.Run(absl::Seconds(20), 3000, moved);
  REQUIRE(admitted <= 1050);
  REQUIRE(admitted >= 800);
}

TEST_CASE("retry_after of a refused request suffices for its admission") {
  AccountLimits limits("entry");
  limits.SetMembers({"entry"});
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  absl::Duration wait;
  while (limits.Admit("a", {2, 100}, 1, now, &wait)) {
  }
  REQUIRE(wait > absl::ZeroDuration());
  REQUIRE(limits.Admit("a", {2, 100}, 1, now + wait + absl::Milliseconds(1),
                       &wait));
}

TEST_CASE("unused tokens are returned") {
  AccountLimits limits("entry");
  limits.SetMembers({"entry"});
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  absl::Duration wait;
  REQUIRE(limits.Admit("a", {100, 100}, 1000, now, &wait));
  REQUIRE(!limits.Admit("a", {100, 100}, 1, now, &wait));
  limits.Refund("a", 1000);
  REQUIRE(limits.Admit("a", {100, 100}, 1, now, &wait));
}

}  // namespace
}  // namespace chicory
