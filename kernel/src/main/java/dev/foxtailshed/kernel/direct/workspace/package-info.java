/** The workspaces of a deployment: their keys, urgency and quotas. */
package dev.foxtailshed.kernel.direct.workspace;
