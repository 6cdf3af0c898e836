#pragma once

namespace waxwing {

/**
 * Writes one line to standard output, "event=process_crashed" with the signal and the stack, when the process ends by a
 * fault, an abort or an exception that nobody catches; then it ends as it would have. The stack is given as offsets in
 * the program, for addr2line. Call once, at the start of main.
 */
void installCrashLog();

} // namespace waxwing
