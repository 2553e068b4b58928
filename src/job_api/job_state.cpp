#include "wrenusher/job_api/job_state.hpp"

namespace wrenusher::job_api {

events::JobStage stage_of(const JobState& state) {
  return state.status == kStatusDone || state.status == kStatusCancelled ? events::JobStage::finished
                                                                         : events::JobStage::accepted;
}

bool is_cancelled(const value::Value& live_record) {
  return live_record["wd"].boolean().value_or(false);
}

JobState read_final_state(const value::Value& final_record) {
  const std::string* status = final_record["s"].text();
  return {status != nullptr ? *status : kStatusDone, final_record["n"].count().value_or(0), 0};
}

}  // namespace wrenusher::job_api
