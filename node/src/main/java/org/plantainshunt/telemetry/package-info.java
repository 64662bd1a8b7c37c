/** The metrics, logs, spans and decision traces of a node. */
package org.plantainshunt.telemetry;
