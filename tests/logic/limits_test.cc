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

/** Instances that share one account's limit, in virtual time. */
class LimitFleet {
 public:
  LimitFleet(int count, double rate) : rate_{rate, 1e12} {
    for (int i = 0; i < count; ++i) {
      names_.push_back(absl::StrCat("entry", i));
      limits_.push_back(std::make_unique<AccountLimits>(names_.back()));
    }
    SetParts({names_});
  }

  /** Instances of one part see each other only. */
  void SetParts(const std::vector<std::vector<std::string>>& parts) {
    parts_ = parts;
    for (size_t i = 0; i < names_.size(); ++i) {
      for (const auto& part : parts) {
        if (std::count(part.begin(), part.end(), names_[i]) != 0)
          limits_[i]->SetMembers(part);
      }
    }
  }

  /** Offers `offered` requests a second, spread by `weights`; returns what was
      admitted per second. */
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
        if (down_.count(index) == 0)
          admitted += limits_[index]->Admit("account", rate_, 1, now_, &wait);
      }
      if (now_ >= next_period_) {
        next_period_ += AccountLimits::kPeriod;
        TellDemands();
      }
    }
    return static_cast<double>(admitted) / absl::ToDoubleSeconds(length);
  }

  void Kill(size_t index) {
    down_.insert(index);
    std::vector<std::string> live;
    for (size_t i = 0; i < names_.size(); ++i) {
      if (down_.count(i) == 0)
        live.push_back(names_[i]);
    }
    SetParts({live});
  }

  const std::vector<std::string>& names() const { return names_; }

 private:
  void TellDemands() {
    for (size_t i = 0; i < limits_.size(); ++i) {
      if (down_.count(i) != 0)
        continue;
      for (const auto& [owner, demands] : limits_[i]->TakeDemands(now_)) {
        for (size_t j = 0; j < names_.size(); ++j) {
          if (names_[j] != owner || down_.count(j) != 0)
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
  std::vector<std::vector<std::string>> parts_;
  std::set<size_t> down_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time next_period_ = now_;
};

std::vector<double> Even(size_t count) {
  return std::vector<double>(count, 1.0);
}

/** All of the account's load at the first few instances. */
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

TEST_CASE("an account is held to its rate and can use it") {
  const auto row = GENERATE(values<LimitCase>({{"15 even", 15, true},
                                               {"15 uneven", 15, false},
                                               {"340 even", 340, true},
                                               {"340 uneven", 340, false}}));
  INFO(row.name);
  constexpr double kRate = 1000;
  LimitFleet fleet(row.instances, kRate);
  const auto weights =
      row.is_even ? Even(row.instances) : Uneven(row.instances);
  fleet.Run(absl::Seconds(10), 3 * kRate, weights);
  const double admitted = fleet.Run(absl::Seconds(30), 3 * kRate, weights);
  INFO("admitted " << admitted << " a second of " << kRate);
  REQUIRE(admitted <= 1.05 * kRate);
  REQUIRE(admitted >= 0.8 * kRate);
}

TEST_CASE("under its rate an account is hardly refused") {
  LimitFleet fleet(15, 1000);
  fleet.Run(absl::Seconds(10), 500, Even(15));
  REQUIRE(fleet.Run(absl::Seconds(30), 500, Even(15)) >= 0.97 * 500);
}

TEST_CASE("overshoot is bounded when instances die") {
  LimitFleet fleet(15, 1000);
  fleet.Run(absl::Seconds(10), 3000, Even(15));
  for (size_t i = 0; i < 5; ++i)
    fleet.Kill(i * 3);
  // Grants of a dead owner and of its successor overlap for their validity.
  REQUIRE(fleet.Run(AccountLimits::kGrantValidity, 3000, Even(15)) <= 2000);
  REQUIRE(fleet.Run(absl::Seconds(20), 3000, Even(15)) <= 1050);
}

TEST_CASE("overshoot is bounded by the number of parts") {
  LimitFleet fleet(30, 1000);
  fleet.Run(absl::Seconds(10), 3000, Even(30));
  const auto& names = fleet.names();
  fleet.SetParts(
      {{names.begin(), names.begin() + 15}, {names.begin() + 15, names.end()}});
  fleet.Run(absl::Seconds(10), 3000, Even(30));
  REQUIRE(fleet.Run(absl::Seconds(20), 3000, Even(30)) <= 2100);
  fleet.SetParts({names});
  fleet.Run(absl::Seconds(10), 3000, Even(30));
  REQUIRE(fleet.Run(absl::Seconds(20), 3000, Even(30)) <= 1050);
}

TEST_CASE("shares follow an account's load when it moves") {
  LimitFleet fleet(15, 1000);
  fleet.Run(absl::Seconds(20), 3000, Uneven(15));
  std::vector<double> moved(15, 0.0);
  moved[10] = 2;
  moved[11] = 1;
  // Within the validity of a grant old and new shares overlap.
  REQUIRE(fleet.Run(AccountLimits::kGrantValidity, 3000, moved) <= 2000);
  const double admitted = fleet.Run(absl::Seconds(20), 3000, moved);
  REQUIRE(admitted <= 1050);
  REQUIRE(admitted >= 800);
}

TEST_CASE("a refused request is told when to come back") {
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

TEST_CASE("tokens that were not used are given back") {
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
