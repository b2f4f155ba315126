cwlVersion: v1.2
class: CommandLineTool
$namespaces: {oliveshift: "https://oliveshift.example/cwl#"}
baseCommand: phase-picking
requirements:
  DockerRequirement: {dockerPull: waves/picker}
  ResourceRequirement: {coresMin: 2, ramMin: 3200}
hints:
  oliveshift:Placement: {class_of_work: phase-picking, urgency: normal, estimate_s: 20, image_gb: 1.6}
temporaryFailCodes: [75]
inputs:
  trace: {type: File, inputBinding: {position: 1}}
  noise: {type: File, inputBinding: {prefix: --noise}}
outputs:
  arrivals: {type: File, outputBinding: {glob: "*.picks"}}
