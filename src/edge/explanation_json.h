#ifndef WC_EDGE_EXPLANATION_JSON_H
#define WC_EDGE_EXPLANATION_JSON_H

#include <wigeoncart/status.h>

#include "forward/explanation.h"

/**
 * wc_explanation_json_parse_flow() - read the flow of an explanation.
 * @route: address and port to which the caller connects, such as "198.18.0.1:443".
 * @caller: address and port of the caller, or NULL for one that no instance knows.
 *
 * Return: WC_STATUS_OK, or WC_STATUS_PARSE with @error set.
 */
WcStatus wc_explanation_json_parse_flow (const char *route, const char *caller, WcFlowKey *key, WcError *error);

/** wc_explanation_json_format() - format an explanation as a JSON object; free it with g_free(). */
char *wc_explanation_json_format (const WcExplanation *explanation, const char *instance, uint64_t config_version,
                                  uint64_t view_revision, uint64_t view_age_us);

#endif
