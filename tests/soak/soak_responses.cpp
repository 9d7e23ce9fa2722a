#include "soak/soak_responses.h"

#include <iterator>

namespace linenpier::soak {

namespace {

/** Beyond the seeds of the other sequences. */
constexpr std::uint64_t kSeedOffset = 6;
constexpr int kResponses = 3;

/** Forms of broken responses. Each has a whole event as its body, so that it would also pass as the
 * text of an item.
 */
enum class Form {
  kStatus,          ///< A status that HTTP does not define.
  kBlankInName,     ///< A field name with a blank.
  kContinuedField,  ///< A line that begins with a blank.
  kTransferCoding,  ///< A transfer coding that is not chunked.
  kCutRefusal,      ///< A refusal whose body is cut.
};
constexpr Form kForms[] = {Form::kStatus, Form::kBlankInName, Form::kContinuedField,
                           Form::kTransferCoding, Form::kCutRefusal};

std::string makeResponse(Form form, const std::string& id) {
  const std::string event = "id: 1\ndata: broken\n\n";
  const std::string length = "Content-Length: " + std::to_string(event.size()) + "\r\n";
  const std::string fields = " Status\r\nRequest-Id: " + id + "\r\nWeight-Versions: 1\r\n" +
                             "Response-Signature: s-" + id + "\r\n";
  switch (form) {
    case Form::kStatus:
      return "HTTP/1.1 000" + fields + length + "\r\n" + event;
    case Form::kBlankInName:
      return "HTTP/1.1 200" + fields + "X Odd: v\r\n" + length + "\r\n" + event;
    case Form::kContinuedField:
      return "HTTP/1.1 200" + fields + " " + length + "\r\n" + event;
    case Form::kTransferCoding:
      return "HTTP/1.1 200" + fields + "Transfer-Encoding: gzip\r\n\r\n" + event;
    case Form::kCutRefusal:
      return "HTTP/1.1 503" + fields + "Not-Executed: 1\r\n" + length + "\r\n" + event.substr(1);
  }
  return {};
}

}  // namespace

soak_responses::soak_responses(soak_world& world)
    : world_(world), random_(world.options.seed + kSeedOffset) {}

void soak_responses::start() {
  this->end_ = steadyNow() + this->world_.options.length;
  spawn(this->world_.loop, [this] { return this->loop(); });
}

Task<void> soak_responses::loop() {
  for (;;) {
    const auto pause = std::chrono::milliseconds(300 + this->random_.below(1500));
    co_await sleepFor(this->world_.loop, pause);
    if (steadyNow() >= this->end_) co_return;
    ++this->faults_;
    if (this->random_.below(2) == 0) {
      this->sendBroken();
    } else {
      co_await this->resetUploads();
    }
  }
}

void soak_responses::sendBroken() {
  auto& engines =
      this->random_.below(2) == 0 ? this->world_.lookup_engines : this->world_.model_engines;
  test::StandinSampler& engine = *engines.at(this->random_.below(engines.size()));
  const Form form = kForms[this->random_.below(std::size(kForms))];
  engine.setRawResponse([form](const std::string& id) { return makeResponse(form, id); });
  for (int i = 0; i < kResponses; ++i) engine.script().push_back(test::SamplerAct::kRaw);
}

Task<void> soak_responses::resetUploads() {
  const unsigned status = this->random_.below(3) == 0 ? 500 : 200;
  for (auto& each : this->world_.lookup_engines)
    each->setUploadAct(test::UploadAct::kReset, status);
  const auto duration = std::chrono::milliseconds(500 + this->random_.below(1500));
  co_await sleepFor(this->world_.loop, duration);
  for (auto& each : this->world_.lookup_engines) each->setUploadAct(test::UploadAct::kRead);
}

}  // namespace linenpier::soak
