#include "daemon/process/daemon.h"

#include <ctime>

namespace linenpier::daemon {

namespace {

/// The node actor is the only busy one; few threads keep an idle daemon small.
constexpr std::size_t kSchedulerThreads = 2;

wire::MemberRecord selfRecord(const settings::DaemonSettings& settings) {
  // Seconds since 1970 as the first incarnation: a restarted daemon overrides its former self.
  const auto incarnation = static_cast<std::uint64_t>(std::time(nullptr));
  return {settings.id,     settings.advertise, settings.zone,
          settings.region, incarnation,        wire::MemberStatus::kAlive};
}

}  // namespace

Daemon::Daemon(settings::DaemonSettings settings, Services services,
               std::function<void(wire::FrameError)> on_refused_frame)
    : settings_(std::move(settings)),
      on_refused_frame_(std::move(on_refused_frame)),
      codec_(settings_.secret) {
  actor_config_.set("scheduler.max-threads", kSchedulerThreads);
  // The default policy polls for work, which alone costs an idle daemon a tenth of a core.
  actor_config_.set("scheduler.policy", caf::atom("sharing"));
  system_ = std::make_unique<caf::actor_system>(actor_config_);
  effects_ = std::make_unique<EffectRunner>(selfRecord(settings_), std::move(services), codec_,
                                            transport_, config_);
}

Daemon::~Daemon() {
  stop();
}

node::NodeOptions Daemon::nodeOptions() const {
  node::NodeOptions options;
  options.self = selfRecord(settings_);
  options.seed = Random::seedFromSystem();
  options.routing_policy = settings_.routing_policy;
  return options;
}

tl::expected<void, Findings> Daemon::start() {
  actor_ = system_->spawn(nodeActor, nodeOptions(),
                          [this](const node::Effect& effect) { effects_->run(effect); });
  node_ = std::make_unique<NodeHandle>(*system_, actor_);
  effects_->attach(node_.get());
  return transport_.start(settings_.control, [this](std::string_view frame) {
    auto envelope = codec_.decode(frame);
    if (envelope) {
      node_->post(node::DatagramArrived{std::move(*envelope)});
    } else {
      on_refused_frame_(envelope.error());
    }
  });
}

void Daemon::beginStop() {
  node_->post(node::StopRequested{});
}

void Daemon::stop() {
  if (!system_) return;
  transport_.stop();
  if (node_) node_->shutDown();
  effects_->stop();
  // Sample threads still ask the node; it answers each question until they have ended.
  effects_->waitForSamples();
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
  actor_ = nullptr;
  node_.reset();
  system_.reset();
}

}  // namespace linenpier::daemon
