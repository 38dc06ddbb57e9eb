#ifndef GGW_COMMON_OUTCOME_H
#define GGW_COMMON_OUTCOME_H

/**
 * enum ggw_outcome - whether a backend server has executed a request
 * @GGW_OUTCOME_DONE: executed: the backend server responded
 * @GGW_OUTCOME_NOT_RUN: certainly not executed: no byte of it was sent, the
 *                       connection was refused, or the server said so
 * @GGW_OUTCOME_UNKNOWN: may have been executed
 */
enum ggw_outcome {
    GGW_OUTCOME_DONE,
    GGW_OUTCOME_NOT_RUN,
    GGW_OUTCOME_UNKNOWN,
};

/**
 * ggw_outcome_name() - get the value of the Greengageway-Outcome header
 *
 * Return: a static string.
 */
const char *ggw_outcome_name(enum ggw_outcome outcome);

#endif
