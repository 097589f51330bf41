// Settings files and processes.

#include "review/standins-2/fleet.h"

#include <csignal>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace medlarspread::review {

namespace {

const std::vector<std::string> kRegions = {"ernakulam", "malabar",
                                           "trivandrum"};

std::string RegionsText() {
  std::string text;
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    text += (zone == 0 ? "" : ",") + kZones[zone] + "=" + kRegions[zone];
  }
  return text;
}

// A free port of the address as ip:port.
std::string FreeAddress(const std::string& ip) {
  return ip + ":" + std::to_string(FindFreePort(ip));
}

}  // namespace

Fleet::Fleet(std::string program,
             std::string folder,
             const std::string& store_address,
             int daemons_per_zone,
             Record& record)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      record_(record) {
  std::vector<std::string> peers;
  std::string seeds;
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    for (int place = 1; place <= daemons_per_zone; ++place) {
      Daemon daemon;
      daemon.zone = kZones[zone];
      daemon.name = "front-" + daemon.zone + "-" + std::to_string(place);
      daemon.ip =
          "127.47." + std::to_string(zone + 1) + "." + std::to_string(place);
      daemon.front = FreeAddress(daemon.ip);
      daemon.ready = FreeAddress(daemon.ip);
      daemon.settings_file = folder_ + "/" + daemon.name + ".ini";
      peers.push_back(FreeAddress(daemon.ip));
      if (place == 1) {
        seeds += (seeds.empty() ? "" : ",") + peers.back();
      }
      daemons_.push_back(daemon);
    }
  }
  // The lines of deploy/daemon.ini.template.
  for (std::size_t index = 0; index < daemons_.size(); ++index) {
    const Daemon& daemon = daemons_[index];
    const std::size_t zone = index / static_cast<std::size_t>(daemons_per_zone);
    std::ofstream file(daemon.settings_file);
    file << "[vm]\nname = " << daemon.name << "\nregion = " << kRegions[zone]
         << "\nfailure_domain = " << daemon.zone
         << "\nregions = " << RegionsText() << "\nprocessor_share = 0.25\n"
         << "\n[callers]\ninterface = opaque\naddress = " << daemon.front
         << "\nreadiness_address = " << daemon.ready
         << "\n\n[operators]\naddress = " << FreeAddress(daemon.ip)
         << "\n\n[peers]\naddress = " << peers[index]
         << "\nquery_address = " << FreeAddress(daemon.ip)
         << "\nseeds = " << seeds
         << "\n\n[platform]\naddress = " << store_address
         << "\n\n[stop]\nbound_s = 6\n"
         << "\n[extra_sends]\nshare = 0.2\nslack = 58\nwindow_s = 10\n";
  }
}

void Fleet::Stop() {
  for (Daemon& daemon : daemons_) {
    if (daemon.process > 0) {
      kill(daemon.process, SIGKILL);
      waitpid(daemon.process, nullptr, 0);
      daemon.process = 0;
    }
  }
}

void Fleet::Start() {
  for (Daemon& daemon : daemons_) {
    const std::string log = folder_ + "/" + daemon.name + ".log";
    const pid_t parent = getpid();
    daemon.process = fork();
    if (daemon.process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      if (getppid() != parent || output < 0) {
        _exit(127);
      }
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execl(program_.c_str(), program_.c_str(), "serve", "--settings",
            daemon.settings_file.c_str(), nullptr);
      _exit(127);
    }
    record_.Write("start " + daemon.name + ", process " +
                  std::to_string(daemon.process));
  }
}

bool Fleet::WaitUntilReady(milliseconds timeout) {
  const Time until = SteadyClock::now() + timeout;
  constexpr milliseconds kPollInterval(50);
  for (const Daemon& daemon : daemons_) {
    bool is_ready = false;
    while (!is_ready && SteadyClock::now() < until) {
      ClientConnection connection(daemon.ready);
      const auto answer = connection.Call(
          "GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n", milliseconds(1'000));
      is_ready = answer && answer->SecondWord() == "200";
      std::this_thread::sleep_for(kPollInterval);
    }
    if (!is_ready) {
      record_.Write(daemon.name + " is not ready");
      return false;
    }
  }
  return true;
}

bool Fleet::IsRunning() const {
  for (const Daemon& daemon : daemons_) {
    if (waitpid(daemon.process, nullptr, WNOHANG) != 0) {
      return false;
    }
  }
  return true;
}

}  // namespace medlarspread::review
