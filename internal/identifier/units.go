package identifier

// Slots counts task slots of backend servers.
type Slots int

// Mebibytes counts units of 2^20 bytes.
type Mebibytes int64

// Millicores counts thousandths of a processor core.
type Millicores int64

// Bytes counts bytes.
type Bytes int64
