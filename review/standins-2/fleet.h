// The daemons of a small deployment as processes.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_2_FLEET_H_
#define MEDLARSPREAD_REVIEW_STANDINS_2_FLEET_H_

#include <string>
#include <vector>

#include <sys/types.h>

#include "review/standins-2/record.h"
#include "review/standins-2/wire.h"

namespace medlarspread::review {

// The zones of the site kcps-photofind.
inline const std::vector<std::string> kZones = {"kakkanad-hall", "nallalam-dc",
                                                "kazhakoottam"};

struct Daemon {
  std::string name;
  std::string zone;
  std::string ip;
  std::string front;
  std::string ready;
  std::string settings_file;
  pid_t process = 0;
};

class Fleet {
 public:
  // The settings files are written into `folder`, which is the fleet's own.
  Fleet(std::string program,
        std::string folder,
        const std::string& store_address,
        int daemons_per_zone,
        Record& record);

  void Start();
  // Ends all processes.
  void Stop();
  // Whether all daemons were ready within that time.
  bool WaitUntilReady(milliseconds timeout);
  // Whether all processes are still running.
  bool IsRunning() const;
  const std::vector<Daemon>& daemons() const { return daemons_; }

 private:
  const std::string program_;
  const std::string folder_;
  Record& record_;
  std::vector<Daemon> daemons_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_2_FLEET_H_
