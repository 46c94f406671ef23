/**
 * Placement of requests by homes: for each service, one live node decides for all nodes which worker gets a request, so
 * that the decisions rest on exact counts instead of on reports that arrive late. The state of a home is soft. A home
 * that is silent, wrong or doubled costs efficiency only, since deadlines, verdicts and retries stay with the node that
 * took the request.
 */
package io.lagoonseam.core.placement;
