/** Tickets, each of which lets a request run at most once, and the outcomes that are stored for repeated requests. */
package org.plantainshunt.execution;
