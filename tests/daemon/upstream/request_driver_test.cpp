#include "daemon/upstream/request_driver.h"

#include <criterion/criterion.h>

using namespace linenpier;
using engine::StreamEnd;
using upstream::RequestDriver;
using upstream::RunState;

Test(request_driver, nothing_sent_means_not_run) {
  RequestDriver driver(false, 2);
  driver.onSend(EngineId("e1"));
  cr_assert(driver.onStreamEnd(StreamEnd::kNotStarted) == RequestDriver::Step::kTryAgain);
  driver.onSend(EngineId("e2"));
  cr_assert(driver.onStreamEnd(StreamEnd::kNotStarted) == RequestDriver::Step::kFinished);
  cr_assert(driver.runState() == RunState::kNotRun);
}

Test(request_driver, a_not_repeatable_request_is_sent_once_and_then_unknown) {
  RequestDriver driver(false, 5);
  driver.onSend(EngineId("e1"));
  cr_assert(driver.onStreamEnd(StreamEnd::kBroken) == RequestDriver::Step::kFinished);
  cr_assert(driver.runState() == RunState::kUnknown);
  cr_assert_not(driver.complete());
}

Test(request_driver, a_repeatable_request_goes_on_where_it_broke) {
  RequestDriver driver(true, 5);
  driver.onSend(EngineId("e1"));
  driver.onPiece({"one ", 1, 7});
  cr_assert(driver.onStreamEnd(StreamEnd::kBroken) == RequestDriver::Step::kTryAgain);
  driver.onSend(EngineId("e2"));
  driver.onPiece({"two ", 1, 8});
  driver.onPiece({"three ", 1, 8});
  cr_assert(driver.onStreamEnd(StreamEnd::kComplete) == RequestDriver::Step::kFinished);
  cr_assert(driver.complete());
  cr_assert(driver.text() == "one two three ");
  cr_assert_eq(driver.pieces().size(), 2U);
  cr_assert_eq(driver.pieces()[1].tokens, 2U);
  cr_assert(driver.failedEngines() == std::vector<EngineId>{EngineId("e1")});
}

Test(request_driver, tries_end) {
  RequestDriver driver(true, 2);
  driver.onSend(EngineId("e1"));
  driver.onStreamEnd(StreamEnd::kBroken);
  driver.onSend(EngineId("e2"));
  cr_assert(driver.onStreamEnd(StreamEnd::kMismatched) == RequestDriver::Step::kFinished);
  cr_assert(driver.runState() == RunState::kUnknown);
}
