#pragma once

namespace waxwing {

/**
 * Installs handlers that write one line to standard output, "event=process_crashed" with the signal and the stack, when
 * the process ends by a fault, an abort or an uncaught exception. The process still ends with the same signal. The
 * stack is given as offsets in the program, for addr2line. Call once, at the start of main.
 */
void installCrashLog();

} // namespace waxwing
