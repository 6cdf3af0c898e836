#pragma once

namespace waxwing {

/**
 * When the process ends by a fault, an abort or an uncaught exception, writes one line to standard output,
 * "event=process_crashed" with the signal and the stack; the process then ends as it would without this. The stack is
 * given as offsets in the program, for addr2line. Call once, at the start of main.
 */
void installCrashLog();

} // namespace waxwing
