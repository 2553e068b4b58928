#include "wrenusher/survey/survey.hpp"

#include "wrenusher/log/log.hpp"

namespace wrenusher::survey {

namespace {

constexpr Micros kLook = from_seconds(2);

}  // namespace

void Survey::start() {
  if (!path_.empty()) look();
}

void Survey::refuse(const std::string& why) {
  log::error("topology_refused", "the topology is not taken, {edition} stays: {reason}",
             log::with("edition", topology::to_text(taken_)), log::with("reason", why));
}

void Survey::look() {
  rt_.after(kLook, [this] { look(); });
  const auto text = reader_(path_);
  if (!text) {
    if (!unreadable_) refuse(path_ + " cannot be read");
    unreadable_ = true;
    return;
  }
  unreadable_ = false;
  if (*text == text_) return;
  text_ = *text;
  std::shared_ptr<const topology::Topology> t;
  try {
    t = topology::Topology::parse(text_, path_);
  } catch (const fields::FieldError& e) {
    refuse(e.what());
    return;
  }
  const topology::Edition& e = t->edition();
  if (e == taken_) return;
  // Two controllers tell by the version which of two is the newer one.
  if (e.version <= taken_.version) {
    refuse(path_ + ": version " + std::to_string(e.version) + " is no newer than " +
           std::to_string(taken_.version) + "; a changed file needs a higher version");
    return;
  }
  taken_ = e;
  log::info("topology_read", "topology {edition} is read: {domains} domains",
            log::with("edition", topology::to_text(e)), log::with("domains", t->domains().size() - 1));
  read(TopologyRead{std::move(t)});
}

}  // namespace wrenusher::survey
