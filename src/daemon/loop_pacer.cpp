#include "daemon/loop_pacer.h"

#include <QAbstractEventDispatcher>

#include <thread>

namespace cedarpoint {

void loop_pacer::attach()
{
    auto* loop = QAbstractEventDispatcher::instance();
    QObject::connect(loop, &QAbstractEventDispatcher::aboutToBlock, [this] { before_waiting(); });
}

void loop_pacer::before_waiting()
{
    const auto now = std::chrono::steady_clock::now();
    const auto spent = now - last_round_;
    if (is_busy_() && spent < min_round) {
        std::this_thread::sleep_for(min_round - spent);
    }
    last_round_ = std::chrono::steady_clock::now();
}

void choose_event_loop()
{
    qputenv("QT_NO_GLIB", "1");
}

} // namespace cedarpoint
