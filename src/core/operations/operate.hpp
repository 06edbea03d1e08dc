#pragma once
#include <functional>

#include "core/bulk/bulk.hpp"
#include "core/configuration/config.hpp"
#include "core/configuration/news.hpp"
#include "core/consensus/duty.hpp"

namespace weldsail {

/// Who asked: a request of this node, or one that another node has forwarded.
struct Asker {
  std::uint64_t request = 0;
  std::uint64_t node = 0;
  std::string address;
};

/// An operator's request that waits for another node's answer.
struct WaitingRequest {
  std::uint64_t request = 0;
  Moment due = 0;
};

/// An operation that another node answers.
struct ForwardedOperation {
  /// Who waits for the answer: the first to ask, and those who sent the same change again while it was under way.
  std::vector<WaitingRequest> waiting;
  /// The node that was asked.
  std::uint64_t node = 0;
  std::string change;
  /// SHA-256 of a change's content, by which a repeat is recognised; empty for what is small or no change.
  std::string content;
};

/// The operator part: the same on every node.
struct OperateState {
  Moment bound = 3000;
  /// Longest wait for another node's answer, the configuration's owner excepted; 0 for two bounds.
  Moment patience = 0;
  std::map<std::uint64_t, ForwardedOperation> forwarded;
  std::uint64_t next = 1;
};

/// The configuration as this process has it, for reads that the owner has confirmed by its version alone.
struct ConfigurationCopy {
  std::uint64_t version = 0;
  /// Reads the document, which is large.
  std::function<std::string()> document;
};

/// What is here of it.
ConfigurationCopy news_copy(const NewsState& news);

/// Status of an owner's answer that the asker's own copy is what was asked for.
inline constexpr std::uint32_t status_not_modified = 304;
/// Longest wait for the configuration's owner, in milliseconds: with a tick to spare less than a third of the bound,
/// after which operators go on to another node by themselves.
inline Moment operate_config_patience(Moment bound) { return bound * 3 / 10; }
/// Where every process tells its figures for monitoring, and the type of that text.
inline constexpr const char* metrics_path = "/v1/metrics";
inline constexpr const char* metrics_type = "text/plain; version=0.0.4; charset=utf-8";

/// True for a path that operators use.
bool operate_path(const std::string& path);
/// The key whose owner answers a path, or nothing when any node does.
std::optional<std::string> operate_key(const std::string& path);
/// True when path and headers may stand in messages between processes.
bool operate_readable(const RequestArrived& event);
wire::Operate operate_read(const RequestArrived& event, std::uint64_t random);
std::string header_value(const std::vector<Header>& headers, const std::string& name);
/// Answers whoever asked.
void operate_answer(const MemberState& member, const Asker& asker, int status, std::string body, Effects& effects,
                    const std::string& version = {});
/// Answers with an error document; `outcome` is refused, unknown or not_run.
void operate_refuse(const MemberState& member, const Asker& asker, int status, const std::string& code,
                    const std::string& outcome, const std::string& change, Effects& effects);
/// True for a request that asks for this process's figures, or that came where nothing else is answered.
bool metrics_asked(const RequestArrived& event);
/// Answers it; `text` makes the figures, and is only called when they are wanted.
void metrics_answer(const RequestArrived& event, const std::function<std::string()>& text, Effects& effects);
/// Outcome of an operation that this process couldn't look at. A change is never refused by it: an earlier sending of
/// the same one may have been taken.
std::string operate_unheard(const wire::Operate& operation);
/// A document of faults; without any it says that all is valid.
std::string operate_faults(const std::vector<Fault>& faults, const std::string& change);
/// Carries an operation to the key's holder. A read of the configuration names the version that is here. A change whose
/// body is under way to it already isn't sent again: its answer is for both.
void operate_forward(OperateState& state, const BulkState& bulk, const MemberState& member, wire::Operate operation,
                     const std::string& key, std::uint64_t request, Moment now, Effects& effects);
/// Takes the owner's answer; the own copy goes to whoever asked where the owner has confirmed its version.
void operate_answered(OperateState& state, const ConfigurationCopy& copy, const wire::Envelope& envelope,
                      Effects& effects);
/// The operator who asked has gone: nothing is answered any more.
void operate_gone(OperateState& state, std::uint64_t request);
/// Answers whose time is over. A body that nobody waits for isn't sent, unless it is under way: such an operation is
/// known until the body has arrived.
void operate_tick(OperateState& state, BulkState& bulk, const MemberState& member, Moment now, Effects& effects);
/// Answers what any node can by itself; false when the path is for an owner.
bool operate_local(const MemberState& member, const wire::Operate& operation, const std::string& status_text,
                   const Asker& asker, Effects& effects);

}  // namespace weldsail
