// Discovery over HTTP: a watch that renews itself, and single fetches.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "config.hpp"
#include "io.hpp"
#include "log.hpp"

namespace violetusher::net {

class Discovery {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_hosts(HostList&& list) = 0;
    virtual void on_hosts_failed() = 0;
  };
  /// `insist`: watch from the start and begin again after failures without being asked to, for
  /// sites where lists are pushed.
  Discovery(Io& io, const std::string& address, const std::string& version, bool insist,
            Handler& handler, Log& log);
  /// Begins a watch, anew where one is under way.
  void watch();
  /// Asks for the whole list once.
  void fetch();
  /// Discovery is at another address now: begins a watch there with the whole list, whatever was
  /// going on at the old one. The version held is the old one's and may mean nothing there.
  void move(const std::string& address);
  void stop();

 private:
  void call();
  void watched(std::optional<HostList> list);
  void fetched(std::optional<HostList> list);

  std::optional<HostList> list_of(const std::optional<std::string>& body);

  Io& io_;
  Handler& handler_;
  Log& log_;
  std::string address_;
  bool insist_;
  std::string version_;
  bool renewing_ = false;
  bool fetch_overlapped_ = false;
  std::unique_ptr<HttpGet> watch_, fetch_;
  std::unique_ptr<Alarm> again_;
};

}  // namespace violetusher::net
