#ifndef GGW_COMMON_OUTCOME_H
#define GGW_COMMON_OUTCOME_H

/**
 * enum ggw_outcome - what is known about one request
 * @GGW_DONE: the backend server answered
 * @GGW_NOT_RUN: proven not to have run: no byte left, the connection was
 *               refused, or the server said so
 * @GGW_UNKNOWN: the request may have run
 */
enum ggw_outcome {
    GGW_DONE,
    GGW_NOT_RUN,
    GGW_UNKNOWN,
};

/**
 * ggw_outcome_name() - the value of the Greengageway-Outcome header
 */
const char *ggw_outcome_name(enum ggw_outcome outcome);

#endif
